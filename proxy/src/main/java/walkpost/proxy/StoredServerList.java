package walkpost.proxy;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * The full list of servers that one process of a proxy stores for the next one. Immutable.
 *
 * @param proxy the name of the proxy
 * @param writer identifies the process that stored the list, and orders the processes by their starts
 * @param discovery the address of the discovery that gave the list
 * @param version discovery's number of the list; negative if the next call must request the full list
 * @param replacedVersion the number of the last known list in the writer's configuration, which this list has replaced; negative if the
 *     configuration had none
 * @param entries all servers on the list
 * @param includedAtNs when operators ended the exclusion of a server, by its id, on the clock of {@link WriterId}: it was restarted then,
 *     whether or not the list says so
 */
record StoredServerList(String proxy, WriterId writer, InetSocketAddress discovery, long version, long replacedVersion,
        List<ServerListEntry> entries, Map<String, Long> includedAtNs) {
    /**
     * Identifies a process by the time of its start.
     *
     * @param startedNs the time of the start, in nanoseconds on the monotonic clock that all processes of this machine share
     */
    record WriterId(long startedNs) {
        /**
         * Returns whether this process started after another one.
         *
         * @param nowNs the present time; a start after it was before the machine was started anew, and counts as earlier
         */
        boolean isLaterThan(WriterId other, long nowNs) {
            return startedNs - other.startedNs > 0 && nowNs - startedNs >= 0;
        }
    }

    StoredServerList {
        entries = List.copyOf(entries);
        includedAtNs = Map.copyOf(includedAtNs);
    }

    /**
     * Returns the ids of the servers whose exclusion ended within a time, because they may still be cold.
     *
     * @param nowNs the present time on the clock of {@link WriterId}; an end after it was before the machine was started anew
     */
    List<String> includedWithin(long spanNs, long nowNs) {
        return includedAtNs.entrySet().stream().filter(included -> isWithin(included.getValue(), spanNs, nowNs)).map(Map.Entry::getKey)
                .sorted().toList();
    }

    private static boolean isWithin(long atNs, long spanNs, long nowNs) {
        return nowNs - atNs >= 0 && nowNs - atNs < spanNs;
    }

    /**
     * Returns whether this list is at least as new as the last known list in the configuration of a process that starts, and so replaces
     * it. Numbers of lists can be compared only if one discovery has given both.
     *
     * @param knownVersion the number of the last known list; negative if there is none
     * @param configuredDiscovery the address of discovery in that configuration
     * @param writerServes whether the process that stored the list is still serving
     */
    boolean replaces(long knownVersion, InetSocketAddress configuredDiscovery, boolean writerServes) {
        return writerServes || knownVersion < 0 || knownVersion == replacedVersion
                || discovery.equals(configuredDiscovery) && version >= knownVersion;
    }
}

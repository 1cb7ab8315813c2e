package walkpost.proxy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The excluded servers: the union of the exclusions of all sources, which are the operator endpoint of this proxy and the fleet. A server
 * is in use again once no source excludes it. Used on the event loop only.
 */
final class ExcludedServers {
    private final BalancerDriver balancerDriver;
    /** The sources that exclude a server, by its id; a server in use has no entry. */
    private final Map<String, Set<ExclusionStore>> sourcesById = new HashMap<>();
    private Consumer<String> inclusionObserver = id -> { };

    ExcludedServers(BalancerDriver balancerDriver) {
        this.balancerDriver = balancerDriver;
    }

    /** Sets who is notified of each server that is in use again, by its id. */
    void setInclusionObserver(Consumer<String> observer) {
        inclusionObserver = observer;
    }

    /** Returns whether a server is listed by discovery or excluded, so that operators may name it. */
    boolean isKnown(String id) {
        return balancerDriver.isKnownServer(id);
    }

    /** Adds a source's exclusion of a server. */
    void exclude(String id, ExclusionStore source) {
        Set<ExclusionStore> sources = sourcesById.computeIfAbsent(id, i -> new HashSet<>(2));
        if (sources.add(source) && sources.size() == 1) {
            balancerDriver.excludeServer(id);
        }
    }

    /** Removes a source's exclusion of a server; returns whether the server is in use again. */
    boolean include(String id, ExclusionStore source) {
        Set<ExclusionStore> sources = sourcesById.get(id);
        if (sources == null) {
            return true;
        }
        if (!sources.remove(source) || !sources.isEmpty()) {
            return false;
        }
        sourcesById.remove(id);
        balancerDriver.includeServer(id);
        inclusionObserver.accept(id);
        return true;
    }
}

package walkpost.proxy;

import java.io.IOException;
import java.util.Optional;

/** Reads the lists of servers that other processes of a proxy store. Used by one thread at a time. */
final class StoredListReader {
    private final EventLog log = new EventLog("handover");
    private final ServerListFile file;
    private final String proxy;
    private final StoredServerList.WriterId self;
    /** The first line of the list that was read last; null if none was. */
    private ServerListFile.Header lastRead;
    /** The message of the last failure, so that each is logged once. */
    private String lastFailure = "";

    /**
     * Creates a reader.
     *
     * @param proxy the name of the proxy; a list of any other is refused
     * @param self this process, whose own lists are not read
     */
    StoredListReader(ServerListFile file, String proxy, StoredServerList.WriterId self) {
        this.file = file;
        this.proxy = proxy;
        this.self = self;
    }

    /** Returns the list in the file, if another process of this proxy has stored it since the last call. */
    Optional<StoredServerList> readNew() {
        try {
            Optional<ServerListFile.Header> header = file.readHeader();
            if (header.isEmpty() || header.get().equals(lastRead) || header.get().writer().equals(self)) {
                return Optional.empty();
            }
            lastRead = header.get();
            Optional<StoredServerList> list = file.read();
            if (list.isPresent() && !list.get().proxy().equals(proxy)) {
                throw new ServerListFile.InvalidListFileException("it is of proxy '" + list.get().proxy() + "'; expected '" + proxy + "'");
            }
            return list;
        } catch (IOException e) {
            logOnce(e);
            return Optional.empty();
        }
    }

    private void logOnce(IOException failure) {
        if (!failure.toString().equals(lastFailure)) {
            log.warn("list_refused", "reason", failure);
        }
        lastFailure = failure.toString();
    }
}

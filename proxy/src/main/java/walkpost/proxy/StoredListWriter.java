package walkpost.proxy;

import java.io.IOException;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Stores the lists of servers that a process has, until a process that started later stores one. Used by one thread at a time.
 */
final class StoredListWriter {
    private final EventLog log = new EventLog("handover");
    private final ServerListFile file;
    private final StoredServerList.WriterId self;
    private final LongSupplier nanoTime;
    private StoredServerList stored;
    /** The first line of the file as this process wrote it; null if it has written none, or the last write has failed. */
    private ServerListFile.Header written;
    private boolean succeeded;
    private boolean failing;

    /**
     * Creates a writer.
     *
     * @param self this process
     * @param nanoTime the time of the monotonic clock that all processes of this machine share
     */
    StoredListWriter(ServerListFile file, StoredServerList.WriterId self, LongSupplier nanoTime) {
        this.file = file;
        this.self = self;
        this.nanoTime = nanoTime;
    }

    /** Makes sure that the file holds a list: writes it unless it is there, or a later process has stored one. */
    void store(StoredServerList list) {
        if (succeeded) {
            return;
        }
        try {
            Optional<ServerListFile.Header> present = readPresent();
            if (present.isPresent() && present.get().writer().isLaterThan(self, nanoTime.getAsLong())) {
                succeeded = true;
                log.info("list_handed_over", "version", list.version());
            } else if (list != stored || present.isEmpty() || !present.get().equals(written)) {
                stored = list;
                written = null;
                written = file.write(list);
            }
            failing = false;
        } catch (IOException e) {
            if (!failing) {
                log.warn("list_not_stored", "version", list.version(), "reason", e);
            }
            failing = true;
        }
    }

    private Optional<ServerListFile.Header> readPresent() throws IOException {
        try {
            return file.readHeader();
        } catch (ServerListFile.InvalidListFileException e) {
            return Optional.empty();
        }
    }
}

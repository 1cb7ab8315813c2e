package walkpost.proxy;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The servers that one source excludes: the operator endpoint of this proxy, or the fleet. Each exclusion is an empty file in a directory
 * that outlives the process. During an upgrade two processes serve as one proxy, and an exclusion that either of them receives applies to
 * both; a file exists or not, so they need neither locks nor messages between them. Used on the event loop only.
 */
final class ExclusionStore {
    /** The longest id, in bytes of UTF-8. A file name has at most 255 bytes, and Base64 takes four of them for three bytes of an id. */
    static final int MAX_ID_BYTES = 180;
    /** How often the directory is read. The platform allows 300 ms from a call until no new requests are sent to the server. */
    private static final long SCAN_INTERVAL_MS = 100;

    /** Thrown if an exclusion could not be added or removed; nothing has changed then. */
    static final class ExclusionRejectedException extends Exception {
        private static final long serialVersionUID = 1L;

        ExclusionRejectedException(String message) {
            super(message, null, false, false);
        }
    }

    private final EventLoop loop;
    private final EventLog log = new EventLog("operators");
    private final ExcludedServers allSources;
    private final Path directory;
    private final String source;
    private final Set<String> excluded = new HashSet<>();
    /** Changes that could not be written to the directory yet: whether a server is excluded, by its id. */
    private final Map<String, Boolean> unwritten = new HashMap<>();
    private boolean directoryReadable = true;

    /**
     * Creates the exclusions of one source, none at first.
     *
     * @param allSources combines the exclusions of all sources
     * @param source names the source in the log
     */
    ExclusionStore(EventLoop loop, ExcludedServers allSources, Path directory, String source) {
        this.loop = loop;
        this.allSources = allSources;
        this.directory = directory;
        this.source = source;
    }

    /** Loads the existing exclusions, and keeps reading the directory for changes by another process. */
    void start() {
        scan();
        loop.scheduleWithFixedDelay(this::scan, SCAN_INTERVAL_MS, SCAN_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Excludes a server; on return the exclusion is stored and in force. */
    void exclude(String id) throws ExclusionRejectedException {
        requireKnown(id);
        try {
            write(id, true);
        } catch (IOException e) {
            throw new ExclusionRejectedException("cannot be kept: " + e);
        }
        markExcluded(id);
    }

    /**
     * Removes the exclusion of a server, even if it was excluded more than once.
     *
     * @return whether the server is in use again; it is not if another source excludes it
     */
    boolean include(String id) throws ExclusionRejectedException {
        requireKnown(id);
        try {
            write(id, false);
        } catch (IOException e) {
            throw new ExclusionRejectedException("cannot be undone: " + e);
        }
        return markIncluded(id);
    }

    /** Applies a decision made elsewhere, even if the server is not known here or the change cannot be stored. */
    void apply(String id, boolean exclude) {
        try {
            write(id, exclude);
            unwritten.remove(id);
        } catch (IOException e) {
            if (unwritten.put(id, exclude) == null) {
                log.warn("exclusion_not_kept", "server", id, "by", source, "reason", e);
            }
        }
        if (exclude) {
            markExcluded(id);
        } else {
            markIncluded(id);
        }
    }

    /** Returns the ids of the servers that this source excludes. */
    Set<String> excludedIds() {
        return Set.copyOf(excluded);
    }

    private void requireKnown(String id) throws ExclusionRejectedException {
        // A server may be known only by an exclusion that another process has stored since the last scan.
        scan();
        if (id.getBytes(StandardCharsets.UTF_8).length > MAX_ID_BYTES || !allSources.isKnown(id)) {
            throw new ExclusionRejectedException("no such tile server");
        }
    }

    private void write(String id, boolean exclude) throws IOException {
        Path file = directory.resolve(fileName(id));
        if (!exclude) {
            Files.deleteIfExists(file);
            return;
        }
        Files.createDirectories(directory);
        try {
            Files.createFile(file);
        } catch (FileAlreadyExistsException e) {
            // The server is excluded already.
        }
    }

    /** Writes a change; returns whether that has succeeded. */
    private boolean tryWrite(String id, boolean exclude) {
        try {
            write(id, exclude);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void markExcluded(String id) {
        if (excluded.add(id)) {
            log.info("server_taken_out", "server", id, "by", source);
            allSources.exclude(id, this);
        }
    }

    private boolean markIncluded(String id) {
        if (excluded.remove(id)) {
            log.info("server_given_back", "server", id, "by", source);
        }
        return allSources.include(id, this);
    }

    /** Retries the unwritten changes, and applies the changes that the directory shows. */
    private void scan() {
        unwritten.entrySet().removeIf(e -> tryWrite(e.getKey(), e.getValue()));
        Set<String> stored = readDirectory();
        if (stored != null) {
            unwritten.forEach((id, exclude) -> {
                if (exclude) {
                    stored.add(id);
                } else {
                    stored.remove(id);
                }
            });
            stored.forEach(this::markExcluded);
            List.copyOf(excluded).stream().filter(id -> !stored.contains(id)).forEach(this::markIncluded);
        }
    }

    /** Returns the ids that the directory holds, or null if it cannot be read; the exclusions stay as they are then. */
    private Set<String> readDirectory() {
        var ids = new HashSet<String>();
        try (var files = Files.newDirectoryStream(directory)) {
            for (Path file : files) {
                decodeId(file.getFileName().toString()).ifPresent(ids::add);
            }
        } catch (NoSuchFileException e) {
            // There are no exclusions yet. Any other failure leaves unknown which exclusions are stored.
        } catch (IOException | DirectoryIteratorException e) {
            if (directoryReadable) {
                log.warn("exclusions_unreadable", "holding", "the exclusions read before", "reason", e);
            }
            directoryReadable = false;
            return null;
        }
        directoryReadable = true;
        return ids;
    }

    private static String fileName(String id) {
        return Base64.getUrlEncoder().withoutPadding().encodeToString(id.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the id of an exclusion's file, or nothing for any other file, which must not prevent the exclusions from being read. */
    private static Optional<String> decodeId(String fileName) {
        try {
            return Optional.of(new String(Base64.getUrlDecoder().decode(fileName), StandardCharsets.UTF_8));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}

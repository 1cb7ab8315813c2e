package walkpost.fleet.shell;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import walkpost.fleet.FleetException.BadDirectory;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Slot;

/**
 * A member's order slots as a log in a directory: first whose it is, then one record a group of slots, each slot as it was last. A log
 * that has grown long is written anew with what stands, and takes the old one's place by a rename, so that a crash leaves one of the
 * two, whole. One thread uses it at a time.
 */
final class OrderLog implements AutoCloseable {
    static final String LOG = "orders.log";
    private static final String NEXT = "orders.new";
    private static final int FORMAT = 1;
    /** Slots in one record of a log written anew. */
    private static final int GROUP = 256;
    private static final CBORMapper CBOR = CBORMapper.builder().disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();
    private static final TypeReference<List<Slot>> SLOTS = new TypeReference<>() { };

    /** Opens the file behind a log; a seam, so that a disk can fail in tests. */
    interface Opener {
        LogFile open(Path file, long end) throws IOException;
    }

    /** Whose a log is. */
    record Header(int format, String cluster, String member) { }

    /**
     * What a log holds, for people and tests.
     *
     * @param torn bytes at the end that belong to no intact record
     */
    record Contents(Header header, List<Slot> slots, int torn) { }

    private final Path folder;
    private final Header header;
    private final long compactAt;
    private final Opener opener;
    private final Map<Order.Key, Slot> slots = new LinkedHashMap<>();
    private final int torn;
    private LogFile log;
    private long compacted;

    /**
     * Opens a log, made where there is none, and reads it. A torn tail is cut.
     *
     * @param compactAt bytes from which on a log that has doubled is written anew
     * @throws BadDirectory if it is another member's, or damaged otherwise; nothing is held then
     * @throws IOException if it can't be read or written; nothing is held then
     */
    OrderLog(Path folder, String cluster, String member, long compactAt, Opener opener) throws IOException, BadDirectory {
        this.folder = folder;
        this.header = new Header(FORMAT, cluster, member);
        this.compactAt = compactAt;
        this.opener = opener;
        Files.deleteIfExists(folder.resolve(NEXT));
        boolean opened = false;
        try {
            torn = restore();
            opened = true;
        } finally {
            if (!opened) {
                release(log);
            }
        }
    }

    /** Returns how many bytes of a torn tail were cut. */
    private int restore() throws IOException, BadDirectory {
        Path file = folder.resolve(LOG);
        LogFile.Scan scan;
        try {
            scan = LogFile.scan(file);
        } catch (NoSuchFileException e) {
            compact();
            return 0;
        }
        if (scan.records().isEmpty()) {
            anew(file);
            return scan.length();
        }
        Contents contents = contents(file, scan);
        if (!contents.header().equals(header)) {
            throw new BadDirectory(file.toString(), "kept by " + contents.header() + ", expected " + header);
        }
        contents.slots().forEach(slot -> take(slot, slots));
        log = opener.open(file, scan.intact());
        compacted = scan.intact();
        return contents.torn();
    }

    /** Begins again with a log that was cut before it said whose it is: nothing had been kept in it. */
    private void anew(Path file) throws IOException, BadDirectory {
        byte[] expected = LogFile.framed(CBOR.writeValueAsBytes(header));
        byte[] found = Files.readAllBytes(file);
        if (found.length >= expected.length || !Arrays.equals(found, Arrays.copyOf(expected, found.length))) {
            throw new BadDirectory(file.toString(), "does not begin as an order log does");
        }
        compact();
    }

    /**
     * Reads a log without changing it, for people and tests.
     *
     * @throws BadDirectory if there is none, or it is damaged other than by a torn tail
     */
    static Contents read(Path folder) throws BadDirectory {
        Path file = folder.resolve(LOG);
        try {
            LogFile.Scan scan = LogFile.scan(file);
            if (scan.records().isEmpty()) {
                throw new BadDirectory(file.toString(), "does not begin as an order log does");
            }
            return contents(file, scan);
        } catch (IOException e) {
            throw new BadDirectory(file.toString(), e.toString());
        }
    }

    private static Contents contents(Path file, LogFile.Scan scan) throws BadDirectory {
        if (scan.rotten()) {
            throw new BadDirectory(file.toString(), "damaged at byte " + scan.intact() + ", with intact records after it");
        }
        try {
            Header header = CBOR.readValue(scan.records().get(0), Header.class);
            var slots = new LinkedHashMap<Order.Key, Slot>();
            for (byte[] record : scan.records().subList(1, scan.records().size())) {
                CBOR.readValue(record, SLOTS).forEach(slot -> take(slot, slots));
            }
            return new Contents(header, List.copyOf(slots.values()), scan.length() - scan.intact());
        } catch (IOException | RuntimeException e) {
            throw new BadDirectory(file.toString(), e.toString());
        }
    }

    /** Returns all that stands. */
    Collection<Slot> slots() {
        return slots.values();
    }

    /** Returns how many bytes of a torn tail were cut when it was opened. */
    int torn() {
        return torn;
    }

    /**
     * Puts slots on disk, each in place of what was there for its key.
     *
     * @throws IOException if that is not certain; then {@link #compact} is to be tried until it comes back: after a failed fsync nobody
     *     knows what the old file holds
     */
    void keep(Collection<Slot> group) throws IOException {
        group.forEach(slot -> take(slot, slots));
        log.append(bytes(List.copyOf(group)));
        if (log.length() > Math.max(compactAt, 2 * compacted)) {
            compact();
        }
    }

    private static byte[] bytes(List<Slot> group) throws JsonProcessingException {
        return CBOR.writerFor(SLOTS).writeValueAsBytes(group);
    }

    /** A slot that says nothing any more is one that the copy has forgotten. */
    private static void take(Slot slot, Map<Order.Key, Slot> slots) {
        if (slot.hasNoHistory()) {
            slots.remove(slot.key());
        } else {
            slots.put(slot.key(), slot);
        }
    }

    /** Puts all that stands into a new log, which takes the old one's place once it is on disk. */
    void compact() throws IOException {
        Path next = folder.resolve(NEXT);
        Files.deleteIfExists(next);
        LogFile made = opener.open(next, 0);
        boolean inPlace = false;
        try {
            made.write(CBOR.writeValueAsBytes(header));
            var all = List.copyOf(slots.values());
            for (int i = 0; i < all.size(); i += GROUP) {
                made.write(bytes(all.subList(i, Math.min(all.size(), i + GROUP))));
            }
            made.force();
            Files.move(next, folder.resolve(LOG), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            inPlace = true;
            try (var entries = FileChannel.open(folder, StandardOpenOption.READ)) {
                entries.force(true);
            }
        } finally {
            if (inPlace) {
                release(log);
                log = made;
                compacted = made.length();
            } else {
                release(made);
            }
        }
    }

    private static void release(LogFile file) {
        if (file != null) {
            try {
                file.close();
            } catch (IOException e) {
                // All that was to be kept had been forced to disk before.
            }
        }
    }

    @Override
    public void close() {
        release(log);
    }
}

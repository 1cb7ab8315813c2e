package walkpost.lab.net;

import java.io.IOException;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The true state of all tile servers, in a file that the stand-ins write and the oracle reads while they change: a slot a
 * place, each with the server's id as a hash, the work in hand and the capacity. No real proxy can know this.
 */
public final class Board {
    /** Where the oracle finds the file. */
    public static final String VARIABLE = "WALKPOST_LAB_BOARD";
    private static final int SLOT = 24;

    private final MappedByteBuffer slots;

    private Board(MappedByteBuffer slots) {
        this.slots = slots;
    }

    /** Makes the file for so many places. */
    public static Board create(Path file, int places) throws IOException {
        return map(file, (long) places * SLOT, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    }

    /** Opens the file of a play. */
    public static Board open(Path file) throws IOException {
        return map(file, 0, StandardOpenOption.READ);
    }

    private static Board map(Path file, long size, StandardOpenOption... how) throws IOException {
        try (var channel = FileChannel.open(file, how)) {
            boolean writes = size > 0;
            return new Board(channel.map(writes ? FileChannel.MapMode.READ_WRITE : FileChannel.MapMode.READ_ONLY, 0,
                    writes ? size : channel.size()));
        }
    }

    /** Writes what is true of a place; a capacity of 0 says that nothing is served there. */
    public void put(int place, String id, double inHandUs, double capacity) {
        slots.putLong(place * SLOT, id.hashCode());
        slots.putDouble(place * SLOT + 8, inHandUs);
        slots.putDouble(place * SLOT + 16, capacity);
    }

    /**
     * Returns how long a server would take for some work on top of what it has and of what is on its way to it, in
     * microseconds; infinite where it serves nothing or is not known.
     */
    public double expectedUs(String id, double workUs) {
        for (int at = 0; at < slots.capacity(); at += SLOT) {
            if (slots.getLong(at) == id.hashCode()) {
                double capacity = slots.getDouble(at + 16);
                return capacity > 0 ? (slots.getDouble(at + 8) + workUs) / capacity : Double.POSITIVE_INFINITY;
            }
        }
        return Double.POSITIVE_INFINITY;
    }
}

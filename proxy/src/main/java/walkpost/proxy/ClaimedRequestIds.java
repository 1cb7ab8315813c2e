package walkpost.proxy;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Remembers the ids of requests that must not run twice, beyond their client's connection: an id is claimed before its request is sent, and
 * a request whose id is claimed is not sent. The ids are kept as hashes in a table of fixed size; when the {@link #SLOTS_PER_BUCKET} places
 * for an id are taken, the oldest of them is forgotten. Two processes that serve the same clients during an upgrade map the same file.
 * Each process uses its instance on its event loop only; processes are safe against each other.
 */
final class ClaimedRequestIds {
    /** How long a claimed id is remembered. It is longer than servers discard repeats of a keyed request. */
    static final long RETENTION_S = 60;
    private static final int BUCKETS = 2_048;
    private static final int SLOTS_PER_BUCKET = 8;
    static final int TABLE_BYTES = BUCKETS * SLOTS_PER_BUCKET * Long.BYTES;
    /** A slot holds the upper bits of an id's hash and, in the lower ones, the second in which it was claimed. An empty slot is 0. */
    private static final int SECOND_BITS = 20;
    private static final long SECOND_MASK = (1L << SECOND_BITS) - 1;
    /** The parameters of the 64-bit FNV-1a hash. */
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final VarHandle SLOT = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    private final ByteBuffer table;
    private final LongSupplier nanoTime;

    private ClaimedRequestIds(ByteBuffer table, LongSupplier nanoTime) {
        this.table = table;
        this.nanoTime = nanoTime;
    }

    /** Returns an empty memory of this process alone. */
    static ClaimedRequestIds ofProcess(LongSupplier nanoTime) {
        return new ClaimedRequestIds(ByteBuffer.allocateDirect(TABLE_BYTES), nanoTime);
    }

    /**
     * Returns the memory in a file, which is created if it is not there.
     *
     * @param nanoTime the time of a clock that all processes of this machine share
     * @throws IOException if the file can't be created or mapped
     */
    static ClaimedRequestIds inFile(Path file, LongSupplier nanoTime) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            // Written and not only extended: a page without a place on a full disk would end the process at its first use.
            long size = channel.size();
            ByteBuffer missing = ByteBuffer.allocate((int) Math.max(0, TABLE_BYTES - size));
            while (missing.hasRemaining()) {
                size += channel.write(missing, size);
            }
            return new ClaimedRequestIds(channel.map(FileChannel.MapMode.READ_WRITE, 0, TABLE_BYTES), nanoTime);
        }
    }

    /** Claims an id; returns false if it is claimed already. Of two processes that claim an id at the same time, at most one succeeds. */
    boolean claim(String id) {
        long hash = hash(id);
        int bucket = bucketOffset(hash);
        long second = TimeUnit.NANOSECONDS.toSeconds(nanoTime.getAsLong()) & SECOND_MASK;
        int oldest = bucket;
        for (int offset = bucket; offset < bucket + SLOTS_PER_BUCKET * Long.BYTES; offset += Long.BYTES) {
            if (holds(offset, hash, second)) {
                return false;
            }
            if (age(offset, second) > age(oldest, second)) {
                oldest = offset;
            }
        }
        SLOT.setVolatile(table, oldest, tag(hash) | second);
        return countOf(hash, bucket, second) == 1;
    }

    /** Forgets an id, because its request has certainly not run. */
    void release(String id) {
        long hash = hash(id);
        int bucket = bucketOffset(hash);
        for (int offset = bucket; offset < bucket + SLOTS_PER_BUCKET * Long.BYTES; offset += Long.BYTES) {
            if (tag(slot(offset)) == tag(hash)) {
                SLOT.setVolatile(table, offset, 0L);
            }
        }
    }

    private int countOf(long hash, int bucket, long second) {
        int count = 0;
        for (int offset = bucket; offset < bucket + SLOTS_PER_BUCKET * Long.BYTES; offset += Long.BYTES) {
            count += holds(offset, hash, second) ? 1 : 0;
        }
        return count;
    }

    private boolean holds(int offset, long hash, long second) {
        return tag(slot(offset)) == tag(hash) && age(offset, second) <= RETENTION_S;
    }

    /** Returns the seconds since a slot was taken; the most there can be if it is empty. */
    private long age(int offset, long second) {
        long slot = slot(offset);
        return slot == 0 ? SECOND_MASK : (second - slot) & SECOND_MASK;
    }

    private long slot(int offset) {
        return (long) SLOT.getVolatile(table, offset);
    }

    private static long tag(long hashOrSlot) {
        return hashOrSlot & ~SECOND_MASK;
    }

    private static int bucketOffset(long hash) {
        return (int) (hash & (BUCKETS - 1)) * SLOTS_PER_BUCKET * Long.BYTES;
    }

    private static long hash(String id) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }
}

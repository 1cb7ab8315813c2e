package walkpost.fleet.shell;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import walkpost.fleet.FleetException.BadDirectory;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Slot;

/**
 * Where a member keeps its order slots over its own end: an {@link OrderLog}, held against other processes by a lock. Owns the one thread
 * that writes there; all that is asked for while the disk works is one record and one wait for it (group commit).
 *
 * <p>While the disk refuses, nothing is reported kept: what waits is tried again, in a new file (Rebello et al., <i>Can Applications
 * Recover from fsync Failures?</i>, USENIX ATC 2020).
 */
final class Directory implements AutoCloseable {
    private static final String LOCK = "lock";
    private static final int END_S = 5;
    private static final int TOUCH_S = 60;

    /**
     * How a directory is kept.
     *
     * @param compactAt bytes from which on a log that has doubled is written anew
     * @param retryMs between two tries while the disk refuses
     */
    record Settings(long compactAt, long retryMs) {
        /** A log of 4 MiB holds some ten thousand orders and is read in well under a second. */
        static final Settings USUAL = new Settings(4 << 20, 1_000);
    }

    private record Write(List<Slot> slots, CompletableFuture<Void> done) { }

    private final Path folder;
    private final Settings settings;
    private final Consumer<BadDirectory> trouble;
    private final FileChannel lock;
    /** The writing thread's once that runs. */
    private final OrderLog log;
    private final List<Slot> restored;
    private final long awayUs;
    private final LinkedBlockingQueue<Write> queue = new LinkedBlockingQueue<>();
    private final Thread thread;
    private long touchedNs;
    private volatile boolean level;
    private volatile boolean touchDue;
    private volatile boolean closed;
    private volatile boolean ended;

    /**
     * Opens a directory, made where there is none, and reads it.
     *
     * @param trouble told, by the writing thread, when the disk begins to refuse, and null when it takes what waits again
     * @throws BadDirectory if it can't be read or written, is another member's, in use or damaged; nothing is held then
     */
    Directory(Path folder, String cluster, String member, Settings settings, OrderLog.Opener opener, Consumer<BadDirectory> trouble)
            throws BadDirectory {
        this.folder = folder;
        this.settings = settings;
        this.trouble = trouble;
        FileChannel locked = null;
        OrderLog opened = null;
        try {
            Files.createDirectories(folder);
            awayUs = Files.exists(folder.resolve(LOCK)) ? sinceLevel() : 0;
            locked = locked();
            opened = new OrderLog(folder, cluster, member, settings.compactAt(), opener);
        } catch (IOException e) {
            throw bad(folder, e);
        } finally {
            if (opened == null) {
                release(locked);
            }
        }
        lock = locked;
        log = opened;
        restored = List.copyOf(log.slots());
        thread = new Thread(this::work, "fleet-directory");
        thread.setDaemon(true);
        thread.start();
    }

    private static BadDirectory bad(Path path, IOException e) {
        return new BadDirectory(path.toString(), e.toString());
    }

    private FileChannel locked() throws IOException, BadDirectory {
        FileChannel channel = FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        boolean taken = false;
        try {
            taken = channel.tryLock() != null;
        } catch (OverlappingFileLockException e) {
            // This very process has it: refused below, as if another had.
        } finally {
            if (!taken) {
                channel.close();
            }
        }
        if (!taken) {
            throw new BadDirectory(folder.toString(), "in use by another member that runs");
        }
        return channel;
    }

    /** Returns the microseconds since its member last was level, by the wall clock: the only one that outlives a process. */
    private long sinceLevel() throws IOException {
        long ms = System.currentTimeMillis() - Files.getLastModifiedTime(folder.resolve(LOCK)).toMillis();
        return TimeUnit.MILLISECONDS.toMicros(Math.max(0, ms));
    }

    /**
     * Puts down that what it holds is as new as any copy: by a write through the lock's own channel, as a process that opens and closes
     * the file besides has given up its lock (POSIX, fcntl).
     */
    private void touch() throws IOException {
        lock.write(ByteBuffer.wrap(new byte[1]), 0);
    }

    /** Returns what it held when it was opened. */
    List<Slot> restored() {
        return restored;
    }

    /** Takes that the member is level now, or not any more; only while it is the directory does not grow old. */
    void level(boolean now) {
        level = now;
        touchDue = now;
        queue.add(new Write(List.of(), new CompletableFuture<>()));
    }

    /** Returns how long before it was opened its member had last been level, in microseconds by the wall clock; 0 where nobody knows. */
    long awayUs() {
        return awayUs;
    }

    /** Returns how many bytes of a torn tail were cut when it was opened. */
    int torn() {
        return log.torn();
    }

    /** Keeps slots, each in place of what was kept for its key. The stage ends when they are on disk, and with an error only at the end. */
    CompletableFuture<Void> persist(List<Slot> changed) {
        var write = new Write(changed, new CompletableFuture<>());
        queue.add(write);
        if (ended) {
            // It may have come behind the last one that the thread took.
            refuse(List.of(write));
        }
        return write.done();
    }

    private void work() {
        var writes = new ArrayList<Write>();
        try {
            while (!closed || !queue.isEmpty()) {
                Write first = queue.poll(TOUCH_S, TimeUnit.SECONDS);
                growNoOlder();
                if (first == null) {
                    continue;
                }
                writes.add(first);
                queue.drainTo(writes);
                if (!keep(writes)) {
                    break;
                }
                writes.forEach(write -> write.done().complete(null));
                writes.clear();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            ended = true;
            queue.drainTo(writes);
            refuse(writes);
        }
    }

    private void growNoOlder() {
        long nowNs = System.nanoTime();
        if (level && (touchDue || closed || nowNs - touchedNs >= TimeUnit.SECONDS.toNanos(TOUCH_S))) {
            touchDue = false;
            touchedNs = nowNs;
            try {
                touch();
            } catch (IOException e) {
                // A disk that refuses is told of by the next write; until then it counts as older than it is.
            }
        }
    }

    private void refuse(List<Write> writes) {
        writes.forEach(write -> write.done().completeExceptionally(new BadDirectory(folder.toString(), "closed")));
    }

    /** Returns whether all of it is on disk; false only when this is closed while the disk refuses. */
    private boolean keep(List<Write> writes) throws InterruptedException {
        var group = new LinkedHashMap<Order.Key, Slot>();
        writes.forEach(write -> write.slots().forEach(slot -> group.put(slot.key(), slot)));
        if (group.isEmpty()) {
            return true;
        }
        boolean troubled = false;
        while (true) {
            try {
                if (troubled) {
                    log.compact();
                    trouble.accept(null);
                } else {
                    log.keep(group.values());
                }
                return true;
            } catch (IOException e) {
                if (!troubled) {
                    trouble.accept(bad(folder, e));
                }
                troubled = true;
            }
            if (closed) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(settings.retryMs());
        }
    }

    private static void release(FileChannel channel) {
        if (channel != null) {
            try {
                channel.close();
            } catch (IOException e) {
                // A lock ends with its process at the latest.
            }
        }
    }

    /** Waits for what was asked for to be on disk, unless the disk refuses, and gives everything back. */
    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        queue.add(new Write(List.of(), new CompletableFuture<>()));
        try {
            thread.join(TimeUnit.SECONDS.toMillis(END_S));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.close();
        release(lock);
    }
}

package walkpost.proxy;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Shows the processes of one proxy whether another of them serves: each holds a shared lock on one file from its readiness until its
 * shutdown begins. The system ends the lock of a process that is killed. Thread-safe.
 */
final class ServingLock {
    private final FileChannel channel;
    /** Null while this process does not hold the lock. */
    private FileLock held;
    private boolean released;

    private ServingLock(FileChannel channel) {
        this.channel = channel;
    }

    /**
     * Opens the file, and creates it if there is none.
     *
     * @throws IOException if the file can't be opened
     */
    static ServingLock open(Path file) throws IOException {
        return new ServingLock(FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE));
    }

    /** Returns whether another process holds the lock; false if that can't be found out. */
    synchronized boolean isHeldByOther() {
        if (held != null) {
            return false;
        }
        try {
            FileLock exclusive = channel.tryLock();
            if (exclusive != null) {
                exclusive.release();
            }
            return exclusive == null;
        } catch (OverlappingFileLockException e) {
            // Two proxies in one process, as in tests, have no locks against each other; the JDK says so.
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Takes the lock, unless this process has released it. Fails for a moment while another process looks at the lock.
     *
     * @return whether this process holds the lock now
     */
    synchronized boolean tryHold() {
        if (released) {
            return false;
        }
        try {
            held = held == null ? channel.tryLock(0, Long.MAX_VALUE, true) : held;
        } catch (OverlappingFileLockException | IOException e) {
            return false;
        }
        return held != null;
    }

    /** Ends the lock of this process for good. */
    synchronized void release() {
        released = true;
        if (held == null) {
            return;
        }
        try {
            held.release();
        } catch (IOException e) {
            // The lock ends with the process.
        }
        held = null;
    }
}

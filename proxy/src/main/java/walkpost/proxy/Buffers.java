package walkpost.proxy;

/**
 * Counts the body bytes that all connections of the process buffer, because they share its limited memory. Used on the event loop only.
 */
final class Buffers {
    private final long limitBytes;
    private long reservedBytes;

    Buffers(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    void hold(int bytes) {
        reservedBytes += bytes;
    }

    void letGo(int bytes) {
        reservedBytes -= bytes;
    }

    /** Returns whether the limit is reached, so that bodies are relayed instead of being buffered further. */
    boolean full() {
        return reservedBytes >= limitBytes;
    }

    long held() {
        return reservedBytes;
    }
}

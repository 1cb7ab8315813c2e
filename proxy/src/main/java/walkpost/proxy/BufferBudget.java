package walkpost.proxy;

/**
 * Counts the body bytes that all connections of the process buffer, because they share its limited memory. Used on the event loop only.
 */
final class BufferBudget {
    private final long limitBytes;
    private long reservedBytes;

    BufferBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    void reserve(int bytes) {
        reservedBytes += bytes;
    }

    void release(int bytes) {
        reservedBytes -= bytes;
    }

    /** Returns whether the limit is reached, so that bodies are relayed instead of being buffered further. */
    boolean isExhausted() {
        return reservedBytes >= limitBytes;
    }

    long reservedBytes() {
        return reservedBytes;
    }
}

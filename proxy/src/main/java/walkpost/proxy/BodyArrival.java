package walkpost.proxy;

import java.util.function.LongSupplier;

/**
 * Bounds the time at which a client has written the last byte of a long request body, from which its deadline counts. The proxy reads that
 * byte later, because it pauses reading while the server does not keep up and the rest of the body waits in the system's buffers. Used on
 * the event loop only.
 */
final class BodyArrival {
    /**
     * More bytes than the system's buffers at both ends of a connection hold: the largest receive and send buffers of Linux are 32 MiB and
     * 4 MiB unless they are configured otherwise.
     */
    static final long MAX_BUFFERED_BY_SYSTEM_BYTES = 64L * 1024 * 1024;

    private final LongSupplier clockUs;
    /** The length of the body; negative if it is unknown. */
    private final long lengthBytes;
    private long receivedBytes;
    /** The latest time at which too many bytes were missing for the client to have written them all. */
    private long incompleteAtUs = Long.MIN_VALUE;

    /**
     * Creates the bound for a body of which nothing has been read.
     *
     * @param lengthBytes the length of the body; negative if it is unknown
     */
    BodyArrival(long lengthBytes, LongSupplier clockUs) {
        this.lengthBytes = lengthBytes;
        this.clockUs = clockUs;
        noteIfIncomplete();
    }

    /** Notes that bytes of the body have been read. */
    void onRead(int bytes) {
        receivedBytes += bytes;
        noteIfIncomplete();
    }

    /** Returns the number of bytes of the body that have been read. */
    long receivedBytes() {
        return receivedBytes;
    }

    /**
     * Returns the earliest time at which the client may have written the last byte of the body, in microseconds on the proxy's clock.
     *
     * @param unreadSinceUs the earliest time at which a byte that has not been read, or has been read just now, may have arrived
     */
    long earliestCompletionUs(long unreadSinceUs) {
        noteIfIncomplete();
        return Math.max(incompleteAtUs, unreadSinceUs);
    }

    private void noteIfIncomplete() {
        if (lengthBytes - receivedBytes > MAX_BUFFERED_BY_SYSTEM_BYTES) {
            incompleteAtUs = clockUs.getAsLong();
        }
    }
}

package walkpost.proxy;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.util.List;

/**
 * Distinguishes transient from permanent failures of reads or writes on a connection; one instance covers one direction. Linux reports
 * some errors of a socket only once (ENOBUFS, ENOMEM, EHOSTUNREACH, ETIMEDOUT), and the next call shows whether the connection still
 * works. A reset or a broken pipe is permanent. Does no I/O and reads no clock; not thread-safe.
 */
final class TransientFailure {
    /**
     * How long calls may go on failing before the failure counts as permanent. The deadline that the proxy passes on allows 150 ms between
     * reading and writing a request.
     */
    static final long MAX_DURATION_NS = 100_000_000;
    /** The messages of ECONNRESET, EPIPE and ENOTCONN, after which no further call can succeed. */
    private static final List<String> PERMANENT_ERRORS = List.of("Connection reset", "Broken pipe", "not connected");

    private IOException lastFailure;
    private long firstFailureNs;

    /** Returns whether a call that has failed is to be made again. */
    boolean shouldRetry(IOException failure, long nowNs) {
        if (isPermanent(failure)) {
            return false;
        }
        if (lastFailure == null) {
            firstFailureNs = nowNs;
        }
        lastFailure = failure;
        return nowNs - firstFailureNs < MAX_DURATION_NS;
    }

    /** Records that a call has succeeded. */
    void succeeded() {
        lastFailure = null;
    }

    /** Returns the last failure since the last call that succeeded, or null. */
    IOException pending() {
        return lastFailure;
    }

    private static boolean isPermanent(IOException failure) {
        String message = failure.getMessage();
        return failure instanceof ClosedChannelException || message != null && PERMANENT_ERRORS.stream().anyMatch(message::contains);
    }
}

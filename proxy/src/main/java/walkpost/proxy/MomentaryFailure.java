package walkpost.proxy;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.util.List;

/**
 * Tells a failure of one direction of a connection that may pass from one that is final. Linux reports some errors of a socket once
 * (ENOBUFS, ENOMEM, EHOSTUNREACH, ETIMEDOUT), and the next call shows whether the connection lives; a reset or a broken pipe stays. Pure.
 */
final class MomentaryFailure {
    /** What has gone on for so long is no moment: a deadline passed on allows 150 ms between its reading and its writing. */
    static final long LONGEST_NS = 100_000_000;
    /** Messages of errors that no further call can undo: ECONNRESET, EPIPE, ENOTCONN. */
    private static final List<String> FINAL = List.of("Connection reset", "Broken pipe", "not connected");

    private IOException cause;
    private long sinceNs;

    /** Returns whether a call that has failed is worth making again. */
    boolean mayPass(IOException failure, long nowNs) {
        if (isFinal(failure)) {
            return false;
        }
        if (cause == null) {
            sinceNs = nowNs;
        }
        cause = failure;
        return nowNs - sinceNs < LONGEST_NS;
    }

    /** A call has succeeded. */
    void passed() {
        cause = null;
    }

    /** Returns the failure after which no call has succeeded yet, or null. */
    IOException pending() {
        return cause;
    }

    private static boolean isFinal(IOException failure) {
        String message = failure.getMessage();
        return failure instanceof ClosedChannelException || message != null && FINAL.stream().anyMatch(message::contains);
    }
}

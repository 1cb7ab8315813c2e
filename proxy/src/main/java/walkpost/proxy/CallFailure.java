package walkpost.proxy;

import io.netty.channel.ConnectTimeoutException;
import java.util.Locale;

/** The kinds of failure of a call to discovery that {@link DiscoveryRetryPolicy} distinguishes. */
enum CallFailure {
    /** This machine could not make the call (no descriptor, no memory, no route), so discovery has not seen it. */
    LOCAL,
    /** The connection was refused or not established in time. */
    UNREACHABLE,
    /** Discovery responded with an error, or with something other than a list. */
    REJECTED,
    /** The connection ended before the response started. */
    ENDED_UNANSWERED,
    /** The response started but was cut off or could not be parsed; the changes in it count as published. */
    BROKEN_ANSWER;

    /** Returns the kind of a connect failure. */
    static CallFailure ofConnect(Throwable cause) {
        String message = String.valueOf(cause.getMessage()).toLowerCase(Locale.ROOT);
        boolean failedRemotely = message.contains("refused") || message.contains("reset");
        return failedRemotely || cause instanceof ConnectTimeoutException ? UNREACHABLE : LOCAL;
    }
}

package walkpost.proxy;

import io.netty.channel.ConnectTimeoutException;
import java.util.Locale;

/** How a call to discovery failed, as far as it matters for when to call again. */
enum CallFailure {
    /** This machine could not make the call: no descriptor, no memory, no route. Discovery has seen nothing of it. */
    LOCAL,
    /** The connection was refused or did not come up in time. */
    UNREACHABLE,
    /** Discovery answered that it can't serve now, or with what is no list. */
    REJECTED,
    /** The connection ended before an answer had begun. */
    ENDED_UNANSWERED,
    /** An answer had begun and did not come whole, or could not be read: what it told counts as told. */
    BROKEN_ANSWER;

    /** Returns how the opening of a connection failed. */
    static CallFailure ofConnect(Throwable cause) {
        String message = String.valueOf(cause.getMessage()).toLowerCase(Locale.ROOT);
        boolean byOther = message.contains("refused") || message.contains("reset");
        return byOther || cause instanceof ConnectTimeoutException ? UNREACHABLE : LOCAL;
    }
}

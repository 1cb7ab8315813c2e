package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Checks from when on the whole body of a request may have been written. */
class BodyArrivalTest {
    private static final int MIB = 1024 * 1024;
    private static final long MAX_BUFFERED = BodyArrival.MAX_BUFFERED_BY_SYSTEM_BYTES;

    private final AtomicLong nowUs = new AtomicLong(1_000);

    @Test
    void aBodyThatTheSystemMayHoldCountsAsWrittenSinceInputMayBeUnread() {
        var arrival = new BodyArrival(MAX_BUFFERED, nowUs::get);
        nowUs.set(5_000);
        assertThat(arrival.earliestCompletionUs(2_000)).isEqualTo(2_000);
    }

    /** Guards against failing an upload that its server merely takes more slowly than its client could send it. */
    @Test
    void aBodyThatTheSystemCannotHoldHasNotBeenWritten() {
        var arrival = new BodyArrival(MAX_BUFFERED + MIB, nowUs::get);
        nowUs.set(5_000);
        assertThat(arrival.earliestCompletionUs(2_000)).isEqualTo(5_000);
        nowUs.set(6_000);
        arrival.onRead(MIB);
        nowUs.set(9_000);
        assertThat(arrival.earliestCompletionUs(2_000)).isEqualTo(5_000);
        assertThat(arrival.earliestCompletionUs(8_000)).isEqualTo(8_000);
    }

    @Test
    void aBodyOfUnknownLengthMayAlwaysHaveBeenWritten() {
        var arrival = new BodyArrival(-1, nowUs::get);
        nowUs.set(5_000);
        arrival.onRead(MIB);
        assertThat(arrival.earliestCompletionUs(2_000)).isEqualTo(2_000);
    }
}

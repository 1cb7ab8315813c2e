package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.SocketException;
import java.nio.channels.ClosedChannelException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which failures of a read or a write are worth another call, and for how long. */
class MomentaryFailureTest {
    private final MomentaryFailure failure = new MomentaryFailure();

    @ParameterizedTest
    @ValueSource(strings = {"No buffer space available", "Cannot allocate memory", "No route to host", "Connection timed out",
        "Network is unreachable", "Input/output error"})
    void whatLinuxReportsOnceIsWorthAnotherCall(String message) {
        assertThat(failure.mayPass(new IOException(message), 0)).isTrue();
        assertThat(failure.pending()).hasMessage(message);
    }

    @ParameterizedTest
    @ValueSource(strings = {"Connection reset", "Connection reset by peer", "Broken pipe", "Transport endpoint is not connected"})
    void whatStaysIsNot(String message) {
        assertThat(failure.mayPass(new SocketException(message), 0)).isFalse();
        assertThat(failure.mayPass(new ClosedChannelException(), 0)).isFalse();
        assertThat(failure.pending()).isNull();
    }

    @Test
    void whatGoesOnIsNoMoment() {
        var cause = new IOException("No buffer space available");
        assertThat(failure.mayPass(cause, 5)).isTrue();
        assertThat(failure.mayPass(cause, 5 + MomentaryFailure.LONGEST_NS - 1)).isTrue();
        assertThat(failure.mayPass(cause, 5 + MomentaryFailure.LONGEST_NS)).isFalse();
    }

    @Test
    void aCallThatSucceedsEndsTheMoment() {
        var cause = new IOException("No buffer space available");
        failure.mayPass(cause, 0);
        failure.passed();
        assertThat(failure.pending()).isNull();
        assertThat(failure.mayPass(cause, MomentaryFailure.LONGEST_NS)).isTrue();
    }
}

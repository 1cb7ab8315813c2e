package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.SocketException;
import java.nio.channels.ClosedChannelException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which failures of a read or a write are retried, and for how long. */
class TransientFailureTest {
    private final TransientFailure failure = new TransientFailure();

    @ParameterizedTest
    @ValueSource(strings = {"No buffer space available", "Cannot allocate memory", "No route to host", "Connection timed out",
        "Network is unreachable", "Input/output error"})
    void retriesErrorsThatLinuxReportsOnce(String message) {
        assertThat(failure.shouldRetry(new IOException(message), 0)).isTrue();
        assertThat(failure.pending()).hasMessage(message);
    }

    @ParameterizedTest
    @ValueSource(strings = {"Connection reset", "Connection reset by peer", "Broken pipe", "Transport endpoint is not connected"})
    void doesNotRetryPermanentErrors(String message) {
        assertThat(failure.shouldRetry(new SocketException(message), 0)).isFalse();
        assertThat(failure.shouldRetry(new ClosedChannelException(), 0)).isFalse();
        assertThat(failure.pending()).isNull();
    }

    @Test
    void stopsRetryingAfterTheMaximumDuration() {
        var cause = new IOException("No buffer space available");
        assertThat(failure.shouldRetry(cause, 5)).isTrue();
        assertThat(failure.shouldRetry(cause, 5 + TransientFailure.MAX_DURATION_NS - 1)).isTrue();
        assertThat(failure.shouldRetry(cause, 5 + TransientFailure.MAX_DURATION_NS)).isFalse();
    }

    @Test
    void aSuccessfulCallRestartsTheDuration() {
        var cause = new IOException("No buffer space available");
        failure.shouldRetry(cause, 0);
        failure.succeeded();
        assertThat(failure.pending()).isNull();
        assertThat(failure.shouldRetry(cause, TransientFailure.MAX_DURATION_NS)).isTrue();
    }
}

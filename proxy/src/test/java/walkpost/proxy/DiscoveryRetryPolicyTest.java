package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ChannelException;
import io.netty.channel.ConnectTimeoutException;
import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks the rows of the table at {@link DiscoveryRetryPolicy}. */
class DiscoveryRetryPolicyTest {
    /** The time after which a drain that was written to a proxy must be obeyed. */
    private static final long GRACE_MS = 300;
    private static final int PROXIES = 590;

    static Stream<Arguments> connectFailures() {
        return Stream.of(
                Arguments.of(new ConnectException("Connection refused: /127.0.0.1:1"), CallFailure.UNREACHABLE),
                Arguments.of(new ConnectTimeoutException("connection timed out after 1000 ms"), CallFailure.UNREACHABLE),
                Arguments.of(new SocketException("Connection reset"), CallFailure.UNREACHABLE),
                Arguments.of(new NoRouteToHostException("No route to host"), CallFailure.LOCAL),
                Arguments.of(new ConnectException("Connection timed out"), CallFailure.LOCAL),
                Arguments.of(new SocketException("Network is unreachable"), CallFailure.LOCAL),
                Arguments.of(new BindException("Cannot assign requested address"), CallFailure.LOCAL),
                Arguments.of(new ChannelException(new IOException("Too many open files")), CallFailure.LOCAL));
    }

    @ParameterizedTest
    @MethodSource("connectFailures")
    void distinguishesLocalConnectFailuresFromThoseOfDiscovery(Throwable cause, CallFailure failure) {
        assertThat(CallFailure.ofConnect(cause)).isEqualTo(failure);
    }

    @Test
    void retriesALocalFailureOftenWithinTheGraceAndGivesUpAfterASecond() {
        long elapsedMs = 0;
        int triesWithinGrace = 0;
        int tries = 0;
        for (long retryMs = DiscoveryRetryPolicy.localRetryMs(0, 0); retryMs != DiscoveryRetryPolicy.USE_BACK_OFF;
                retryMs = DiscoveryRetryPolicy.localRetryMs(tries, elapsedMs)) {
            elapsedMs += retryMs;
            tries++;
            triesWithinGrace += elapsedMs < GRACE_MS ? 1 : 0;
        }
        assertThat(triesWithinGrace).isGreaterThanOrEqualTo(8);
        assertThat(elapsedMs).isBetween(1_000L, 1_040L);
        assertThat(tries).isLessThan(40);
    }

    @ParameterizedTest
    @EnumSource(names = {"BROKEN_ANSWER", "ENDED_UNANSWERED"})
    void retriesALostResponseOnceWellWithinTheGrace(CallFailure failure) {
        for (double draw = 0; draw < 1; draw += 0.01) {
            assertThat(new DiscoveryRetryPolicy().watchRetryMs(failure, draw)).isBetween(0L, GRACE_MS / 2);
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"BROKEN_ANSWER", "UNREACHABLE"})
    void retriesTwiceMoreWithinTheGraceUnlessDiscoveryRejectedTheRetry(CallFailure second) {
        var policy = new DiscoveryRetryPolicy();
        long elapsedMs = policy.watchRetryMs(CallFailure.ENDED_UNANSWERED, 1);
        elapsedMs += policy.watchRetryMs(second, 1);
        elapsedMs += policy.watchRetryMs(second, 1);
        assertThat(elapsedMs).isLessThan(GRACE_MS);
        assertThat(policy.watchRetryMs(second, 1)).isEqualTo(DiscoveryRetryPolicy.USE_BACK_OFF);
        policy.reset();
        assertThat(policy.watchRetryMs(CallFailure.UNREACHABLE, 1)).isEqualTo(DiscoveryRetryPolicy.USE_BACK_OFF);
    }

    @ParameterizedTest
    @EnumSource(names = {"LOCAL", "REJECTED", "ENDED_UNANSWERED"})
    void usesTheBackOffAfterASecondFailureUntilAValidResponse(CallFailure second) {
        var policy = new DiscoveryRetryPolicy();
        assertThat(policy.watchRetryMs(CallFailure.ENDED_UNANSWERED, 0)).isNotEqualTo(DiscoveryRetryPolicy.USE_BACK_OFF);
        assertThat(policy.watchRetryMs(second, 0)).isEqualTo(DiscoveryRetryPolicy.USE_BACK_OFF);
        policy.reset();
        assertThat(policy.watchRetryMs(CallFailure.BROKEN_ANSWER, 0)).isNotEqualTo(DiscoveryRetryPolicy.USE_BACK_OFF);
    }

    @ParameterizedTest
    @EnumSource(names = {"LOCAL", "UNREACHABLE", "REJECTED"})
    void usesTheBackOffIfNoResponseWasLost(CallFailure failure) {
        assertThat(new DiscoveryRetryPolicy().watchRetryMs(failure, 0.5)).isEqualTo(DiscoveryRetryPolicy.USE_BACK_OFF);
    }

    @Test
    void spreadsTheThreeEarlyRetriesOfManyProxies() {
        var random = new SplittableRandom(7);
        int[] callsByTenMs = new int[13];
        for (int proxy = 0; proxy < PROXIES; proxy++) {
            var policy = new DiscoveryRetryPolicy();
            callsByTenMs[(int) policy.watchRetryMs(CallFailure.ENDED_UNANSWERED, random.nextDouble()) / 10]++;
            policy.watchRetryMs(CallFailure.UNREACHABLE, random.nextDouble());
            policy.watchRetryMs(CallFailure.UNREACHABLE, random.nextDouble());
            assertThat(policy.watchRetryMs(CallFailure.UNREACHABLE, random.nextDouble())).isEqualTo(DiscoveryRetryPolicy.USE_BACK_OFF);
        }
        assertThat(IntStream.of(callsByTenMs).max().orElseThrow()).isLessThan(PROXIES / 6);
    }
}

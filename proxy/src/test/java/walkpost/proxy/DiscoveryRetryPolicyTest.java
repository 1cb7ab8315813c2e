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

/** The rows of {@link DiscoveryRetryPolicy}'s table. */
class DiscoveryRetryPolicyTest {
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
    void aConnectionThatFailedIsOfThisMachineOrOfDiscovery(Throwable cause, CallFailure failure) {
        assertThat(CallFailure.ofConnect(cause)).isEqualTo(failure);
    }

    @Test
    void aCallThatCouldNotBeMadeIsTriedManyTimesWithinTheGraceAndGivenUpAfterASecond() {
        long at = 0;
        int triesWithinGrace = 0;
        int tries = 0;
        for (long next = DiscoveryRetryPolicy.localRetryMs(0, 0); next != DiscoveryRetryPolicy.BACK_OFF; next = DiscoveryRetryPolicy.localRetryMs(tries, at)) {
            at += next;
            tries++;
            triesWithinGrace += at < GRACE_MS ? 1 : 0;
        }
        assertThat(triesWithinGrace).isGreaterThanOrEqualTo(8);
        assertThat(at).isBetween(1_000L, 1_040L);
        assertThat(tries).isLessThan(40);
    }

    @ParameterizedTest
    @EnumSource(names = {"BROKEN_ANSWER", "ENDED_UNANSWERED"})
    void anAnswerThatMayBeLostIsAskedForOnceWellWithinTheGrace(CallFailure failure) {
        for (double draw = 0; draw < 1; draw += 0.01) {
            assertThat(new DiscoveryRetryPolicy().recallMs(failure, draw)).isBetween(0L, GRACE_MS / 2);
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"BROKEN_ANSWER", "UNREACHABLE"})
    void aRecallThatDiscoveryDidNotTurnAwayIsMadeTwiceMoreWithinTheGrace(CallFailure second) {
        var rule = new DiscoveryRetryPolicy();
        long at = rule.recallMs(CallFailure.ENDED_UNANSWERED, 1);
        at += rule.recallMs(second, 1);
        at += rule.recallMs(second, 1);
        assertThat(at).isLessThan(GRACE_MS);
        assertThat(rule.recallMs(second, 1)).isEqualTo(DiscoveryRetryPolicy.BACK_OFF);
        rule.answered();
        assertThat(rule.recallMs(CallFailure.UNREACHABLE, 1)).isEqualTo(DiscoveryRetryPolicy.BACK_OFF);
    }

    @ParameterizedTest
    @EnumSource(names = {"LOCAL", "REJECTED", "ENDED_UNANSWERED"})
    void aSecondFailureWaitsForTheBackOffUntilASoundAnswer(CallFailure second) {
        var rule = new DiscoveryRetryPolicy();
        assertThat(rule.recallMs(CallFailure.ENDED_UNANSWERED, 0)).isNotEqualTo(DiscoveryRetryPolicy.BACK_OFF);
        assertThat(rule.recallMs(second, 0)).isEqualTo(DiscoveryRetryPolicy.BACK_OFF);
        rule.answered();
        assertThat(rule.recallMs(CallFailure.BROKEN_ANSWER, 0)).isNotEqualTo(DiscoveryRetryPolicy.BACK_OFF);
    }

    @ParameterizedTest
    @EnumSource(names = {"LOCAL", "UNREACHABLE", "REJECTED"})
    void whatTellsOfNothingLostWaitsForTheBackOff(CallFailure failure) {
        assertThat(new DiscoveryRetryPolicy().recallMs(failure, 0.5)).isEqualTo(DiscoveryRetryPolicy.BACK_OFF);
    }

    @Test
    void aHerdThatLosesItsDiscoveryTriesItThriceEachAndSpreadOut() {
        var random = new SplittableRandom(7);
        int[] callsByTenMs = new int[13];
        for (int proxy = 0; proxy < PROXIES; proxy++) {
            var rule = new DiscoveryRetryPolicy();
            callsByTenMs[(int) rule.recallMs(CallFailure.ENDED_UNANSWERED, random.nextDouble()) / 10]++;
            rule.recallMs(CallFailure.UNREACHABLE, random.nextDouble());
            rule.recallMs(CallFailure.UNREACHABLE, random.nextDouble());
            assertThat(rule.recallMs(CallFailure.UNREACHABLE, random.nextDouble())).isEqualTo(DiscoveryRetryPolicy.BACK_OFF);
        }
        assertThat(IntStream.of(callsByTenMs).max().orElseThrow()).isLessThan(PROXIES / 6);
    }
}

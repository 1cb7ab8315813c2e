package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import walkpost.Balancer.Arrival;
import walkpost.Balancer.AttemptEnded;
import walkpost.Balancer.Cancel;
import walkpost.Balancer.ClientGone;
import walkpost.Balancer.Event;
import walkpost.Balancer.Outcome;
import walkpost.Balancer.Send;
import walkpost.Balancer.SetTimer;
import walkpost.Balancer.TimerFired;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** Tests how balancer and sockets are connected, also for a balancer that misbehaves. */
class BalancerDriverTest {
    /** Guards against a balancer that never answers a request: the proxy then fails the request before its client gives up. */
    @Test
    void answersInTimeIfTheBalancerNeverAnswers() throws Exception {
        try (var proxy = new ProxyFixture((event, actions) -> { }); var client = proxy.client()) {
            long sent = System.nanoTime();
            RawConnection.Message answer = client.send(ProxyFixture.get("r1").replace("1900m", "300000u")).read();
            assertThat(answer.status()).isEqualTo(502);
            assertThat(System.nanoTime() - sent).isGreaterThan(200_000_000L);
            assertThat(proxy.nextEvent(ClientGone.class).id()).isEqualTo("r1");
        }
    }

    @Test
    void anExceptionInTheBalancerFailsOnlyItsRequest() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture((event, actions) -> {
            if (event instanceof Arrival a && a.id().equals("bad")) {
                throw new IllegalStateException("thrown by the test");
            }
            ProxyFixture.sendTo("s0").handle(event, actions);
        }, server); var client = proxy.client()) {
            server.answerAll(FakeServer.okResponse("x"));
            assertThat(client.send(ProxyFixture.get("bad")).read().status()).isEqualTo(502);
            assertThat(client.send(ProxyFixture.get("good")).read().status()).isEqualTo(200);
        }
    }

    @Test
    void sendsTheRemainingTimeAsTheTimeoutOfAFurtherAttempt() throws Exception {
        var started = new CompletableFuture<ProxyFixture>();
        try (var server = new FakeServer(); var proxy = new ProxyFixture((event, actions) -> {
            if (event instanceof Arrival a) {
                actions.accept(new Send(a.id(), "s0", 0));
            } else if (event instanceof AttemptEnded a && a.attempt() == 0) {
                started.join().advanceClock(Duration.ofMillis(500));
                actions.accept(new Send(a.id(), "s0", 0));
            }
        }, server); var client = proxy.client()) {
            started.complete(proxy);
            client.send(ProxyFixture.get("r1"));
            RawConnection first = server.accept();
            assertThat(timeoutUs(first.read())).isLessThanOrEqualTo(1_900_000);
            first.close();
            assertThat(timeoutUs(server.accept().read())).isBetween(1L, 1_400_000L);
        }
    }

    private static long timeoutUs(RawConnection.Message attempt) {
        return Long.parseLong(attempt.header("X-Timeout").replace("u", ""));
    }

    /**
     * Guards against duplicate execution: whatever the balancer orders, no attempt is sent while another is in flight, after the request
     * has been answered, or beyond the allowed number of attempts.
     */
    @Test
    void sendsNoSecondCopyOfARequest() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture((event, actions) -> {
            if (event instanceof Arrival a) {
                actions.accept(new Send(a.id(), "s0", 0));
                actions.accept(new Send(a.id(), "s0", 0));
                actions.accept(new Send(a.id(), "unknown", 0));
            }
        }, server); var client = proxy.client()) {
            client.send(ProxyFixture.get("r1"));
            RawConnection first = server.accept();
            first.read();
            for (int number = 1; number <= 2; number++) {
                AttemptEnded end = proxy.nextEvent(AttemptEnded.class);
                assertThat(end.attempt()).isEqualTo(number);
                assertThat(end.outcome()).isEqualTo(Outcome.NOT_SENT);
                assertThat(end.last()).isFalse();
            }
            first.send(FakeServer.okResponse("x"));
            assertThat(client.read().status()).isEqualTo(200);
            assertThat(proxy.nextEvent(AttemptEnded.class).last()).isTrue();
        }
    }

    @Test
    void cancelsAnAttemptIfTheBalancerOrdersIt() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture((event, actions) -> {
            if (event instanceof ClientGone g) {
                actions.accept(new Cancel(g.id(), 0));
            }
            ProxyFixture.sendTo("s0").handle(event, actions);
        }, server)) {
            RawConnection attempt;
            try (var client = proxy.client()) {
                client.send(ProxyFixture.get("r1"));
                attempt = server.accept();
                attempt.read();
            }
            assertThat(attempt.awaitClose()).isTrue();
            AttemptEnded end = proxy.nextEvent(AttemptEnded.class);
            assertThat(end.outcome()).isEqualTo(Outcome.CANCELLED);
            assertThat(end.last()).isTrue();
        }
    }

    @Test
    void firesTheTimersOfTheBalancer() throws Exception {
        var set = new boolean[1];
        try (var proxy = new ProxyFixture((event, actions) -> {
            if (!set[0]) {
                set[0] = true;
                actions.accept(new SetTimer(0, "due"));
            }
        })) {
            assertThat(proxy.nextEvent(TimerFired.class).token()).isEqualTo("due");
        }
    }

    /**
     * Guards against an attempt for a client that has disconnected. The loop was delayed before it sends the attempt, so the client's close
     * is still unread in the socket.
     */
    @Test
    void beginsNoFirstAttemptForAClientWhoseCloseIsUnread() throws Exception {
        clientDisconnectsDuring(event -> event instanceof Arrival, 0);
    }

    @Test
    void beginsNoFurtherAttemptForAClientWhoseCloseIsUnread() throws Exception {
        clientDisconnectsDuring(event -> event instanceof AttemptEnded e && e.attempt() == 0, 1);
    }

    /**
     * Disconnects the client while the balancer handles one event, which takes longer than the loop may be delayed. The balancer then
     * orders an attempt, which must not begin.
     *
     * @param isDisconnectMoment selects that event
     * @param attempts the number of attempts that begin before that event
     */
    private static void clientDisconnectsDuring(Predicate<Event> isDisconnectMoment, int attempts) throws Exception {
        var started = new CompletableFuture<ProxyFixture>();
        var leavingClient = new CompletableFuture<RawConnection>();
        try (var server = new FakeServer(); var proxy = new ProxyFixture((event, actions) -> {
            if (isDisconnectMoment.test(event)) {
                close(leavingClient.join());
                started.join().advanceClock(Duration.ofMillis(100));
            }
            if (event instanceof Arrival a) {
                actions.accept(new Send(a.id(), "s0", 0));
            } else if (event instanceof AttemptEnded e && !e.last()) {
                actions.accept(new Send(e.id(), "s0", 0));
            }
        }, server); var client = proxy.client()) {
            started.complete(proxy);
            leavingClient.complete(client);
            client.send(ProxyFixture.get("gone"));
            for (int i = 0; i < attempts; i++) {
                try (RawConnection attempt = server.accept()) {
                    assertThat(attempt.read().header("X-Request-ID")).isEqualTo("gone");
                }
            }
            assertThat(proxy.nextEvent(ClientGone.class).id()).isEqualTo("gone");
            AttemptEnded end = proxy.nextEvent(AttemptEnded.class);
            assertThat(end.outcome()).isEqualTo(Outcome.NOT_SENT);
            assertThat(end.last()).isTrue();
        }
    }

    private static void close(RawConnection connection) {
        try {
            connection.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

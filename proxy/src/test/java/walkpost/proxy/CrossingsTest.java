package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import walkpost.Balancer.Arrival;
import walkpost.Balancer.AttemptEnded;
import walkpost.Balancer.Cancel;
import walkpost.Balancer.Outcome;
import walkpost.Balancer.Send;
import walkpost.Balancer.StreamStarted;
import walkpost.Balancer.Watch;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Two things that happen at once on a connection to a server; each test forces them to meet. */
class CrossingsTest {
    private static final String ENDLESS = "HTTP/1.1 200 OK\r\n\r\n";
    private static final String LONG = ENDLESS + "0123456789abcdef".repeat(8_000);

    private static void reset(Wire wire) throws IOException {
        wire.socket.setSoLinger(true, 0);
        wire.close();
    }

    /** Only an end that the server has sent is one. */
    @Test
    void aResetIsNoEndOfALongAnswer() throws Exception {
        try (var server = new Peer(); var proxy = new Fixture(Fixture.sendTo("s0"), server); var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = server.accept();
            attempt.read();
            attempt.send(LONG);
            proxy.next(StreamStarted.class);
            reset(attempt);
            assertThatThrownBy(client::readChunked).isInstanceOf(IOException.class);
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.RESET);
        }
    }

    @Test
    void aResetIsNoEndOfAShortAnswer() throws Exception {
        try (var server = new Peer(); var proxy = new Fixture(Fixture.sendTo("s0"), server); var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = server.accept();
            attempt.read();
            attempt.send(ENDLESS + "ma");
            reset(attempt);
            assertThat(client.read().status()).isEqualTo(502);
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.RESET);
        }
    }

    /** This side closes an answer that says nothing more; the client must not take what it has for the whole. */
    @Test
    void theCloseOfASilentAnswerIsNoEndOfIt() throws Exception {
        try (var server = new Peer(); var proxy = new Fixture(Fixture.sendTo("s0"), 1_024, 500_000, server);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = server.accept();
            attempt.read();
            attempt.send(LONG);
            assertThatThrownBy(client::readChunked).isInstanceOf(IOException.class);
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.RESET);
        }
    }

    @Test
    void theCancelOfAnAnswerIsNoEndOfIt() throws Exception {
        try (var server = new Peer(); var proxy = new Fixture((event, actions) -> {
            if (event instanceof StreamStarted s) {
                actions.accept(new Cancel(s.id(), s.attempt()));
            } else if (event instanceof Arrival a) {
                actions.accept(new Send(a.id(), "s0", 0));
            }
        }, server); var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = server.accept();
            attempt.read();
            attempt.send(LONG);
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.CANCELLED);
            assertThatThrownBy(client::readChunked).isInstanceOf(IOException.class);
        }
    }

    @Test
    void aTimeOutIsNoEndOfAShortAnswer() throws Exception {
        try (var server = new Peer(); var proxy = new Fixture(Fixture.sendTo("s0", 50_000), server);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = server.accept();
            attempt.read();
            attempt.send(ENDLESS + "ma");
            assertThat(client.read().status()).isEqualTo(502);
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.TIMEOUT);
        }
    }

    /** An answer comes, and the end of the connection with it, while another request waits to take the connection. */
    @Test
    void aConnectionThatEndsWithItsAnswerIsNotTakenForTheNext() throws Exception {
        try (var server = new Peer(); var proxy = new Fixture((event, actions) -> {
            // The second is sent within the very read of the first's answer.
            if (event instanceof Arrival a && a.id().equals("r1") || event instanceof AttemptEnded e && e.id().equals("r1")) {
                actions.accept(new Send(event instanceof Arrival ? "r1" : "r2", "s0", 0));
            }
        }, server); var one = proxy.client(); var two = proxy.client()) {
            one.send(Fixture.get("r1"));
            Wire first = server.accept();
            first.read();
            proxy.next(Arrival.class);
            two.send(Fixture.get("r2"));
            proxy.next(Arrival.class);
            first.send(ENDLESS + "one").endSending();
            assertThat(one.read().body()).isEqualTo("one");
            Wire second = server.accept();
            assertThat(second.read().header("X-Request-ID")).isEqualTo("r2");
            second.send(Peer.ok("two"));
            assertThat(two.read().body()).isEqualTo("two");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nConte", "HTTP/1.1 103 Early Hints\r\n\r\n", "\r\n"})
    void whateverComesOnARestingConnectionEndsIt(String late) throws Exception {
        // The idle timer is slower than the test's patience: it is not what ends the connection.
        try (var server = new Peer(); var proxy = new Fixture(Fixture.sendTo("s0"), 1_024, 60_000_000, server);
                var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = server.accept();
            attempt.read();
            attempt.send(Peer.ok("one"));
            assertThat(client.read().body()).isEqualTo("one");
            attempt.send(late);
            assertThat(attempt.ended()).isTrue();
        }
    }

    /** What the loop has not come to yet when it takes the connection: it is held up until that has been sent. */
    @ParameterizedTest
    @CsvSource({"second", "half", "end", "reset"})
    void aRestingConnectionOnWhichSomethingWaitsIsNotTaken(String what) throws Exception {
        var sent = new CountDownLatch(1);
        try (var server = new Peer(); var proxy = new Fixture((event, actions) -> {
            if (event instanceof Arrival a && a.id().equals("r2")) {
                await(sent);
            }
            Fixture.sendTo("s0").handle(event, actions);
        }, server); var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire first = server.accept();
            first.read();
            first.send(Peer.ok("one"));
            assertThat(client.read().body()).isEqualTo("one");
            proxy.next(Arrival.class);
            client.send(Fixture.get("r2"));
            proxy.next(Arrival.class);
            switch (what) {
                case "second" -> first.send(Peer.ok("one"));
                case "half" -> first.send("HTTP/1.1 200 OK\r\nContent-Le");
                case "end" -> first.endSending();
                default -> reset(first);
            }
            sent.countDown();
            Wire second = server.accept();
            assertThat(second.read().header("X-Request-ID")).isEqualTo("r2");
            second.send(Peer.ok("two"));
            assertThat(client.read().body()).isEqualTo("two");
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            if (!latch.await(10, TimeUnit.SECONDS)) {
                throw new AssertionError("nothing was sent");
            }
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** A server begins with a request once it has it whole: what comes before that is no answer to it, and it never ran. */
    @ParameterizedTest
    @CsvSource({"'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade',CONNECT_FAILED",
        "'HTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\nmade',CONNECT_FAILED",
        "'HTTP/1.1 200 OK\r\nno colon here\r\n\r\n',CONNECT_FAILED",
        "'HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n',FULL"})
    void anAnswerBeforeTheRequestIsWholeIsNoneToIt(String early, Outcome outcome) throws Exception {
        try (var server = new Peer(); var proxy = new Fixture(Fixture.sendTo("s0"), server); var client = proxy.client()) {
            client.send(Fixture.post("r1", "x".repeat(200_000)).substring(0, 150_000));
            Wire attempt = server.accept();
            attempt.readHead();
            attempt.send(early);
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(outcome);
            assertThat(client.read().status()).isEqualTo(502);
        }
    }

    /** Each may have run, is told as failed, and its connection is not used again. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmade\r\n0\r\n\r\n",
        "Content-Length: -4\r\n\r\nmade", "Content-Length: 4x\r\n\r\nmade", "Content-Length: 4, 5\r\n\r\nmade",
        "Transfer-Encoding: chunked\r\n\r\n-4\r\nmade\r\n0\r\n\r\n", ": nameless\r\nContent-Length: 4\r\n\r\nmade"})
    void aSpoiltAnswerIsAnError(String spoilt) throws Exception {
        try (var server = new Peer(); var proxy = new Fixture(Fixture.sendTo("s0"), server); var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = server.accept();
            attempt.read();
            attempt.send("HTTP/1.1 200 OK\r\n" + spoilt);
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.ERROR);
            assertThat(client.read().status()).isEqualTo(502);
            assertThat(attempt.ended()).isTrue();
        }
    }

    /** The first part of it is with the client by then. */
    @Test
    void aLongAnswerThatIsSpoiltOnTheWayIsBrokenForTheClient() throws Exception {
        try (var server = new Peer(); var proxy = new Fixture(Fixture.sendTo("s0"), server); var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = server.accept();
            attempt.read();
            attempt.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n" + "x".repeat(70_000) + "\r\n");
            proxy.next(StreamStarted.class);
            attempt.send("zz\r\nmade\r\n0\r\n\r\n");
            assertThatThrownBy(client::readChunked).isInstanceOf(IOException.class);
            assertThat(proxy.next(AttemptEnded.class).outcome()).isEqualTo(Outcome.RESET);
            assertThat(attempt.ended()).isTrue();
        }
    }

    /** Connections to the process before are dead, or will be reset under the request that takes them. */
    @Test
    void aNewStartEndsWhatRests() throws Exception {
        var asked = new boolean[1];
        try (var server = new Peer(); var proxy = new Fixture((event, actions) -> {
            if (!asked[0]) {
                asked[0] = true;
                actions.accept(new Watch(true));
            }
            Fixture.sendTo("s0").handle(event, actions);
        }, 1_024, 60_000_000, server); var client = proxy.client()) {
            client.send(Fixture.get("r1"));
            Wire attempt = server.accept();
            attempt.read();
            attempt.send(Peer.ok("one"));
            assertThat(client.read().body()).isEqualTo("one");
            String again = Fixture.entry("s0", server.address(), "ready").replace("\"started_ms\":7", "\"started_ms\":8");
            Wire watch = proxy.discovery.accept();
            watch.read();
            watch.send(Peer.ok(Fixture.list(42, false, again)));
            assertThat(attempt.ended()).isTrue();
        }
    }
}

package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import walkpost.Balancer.Arrival;
import walkpost.Balancer.AttemptEnded;
import walkpost.Balancer.Fail;
import walkpost.Balancer.Outcome;
import walkpost.Balancer.Refuse;
import walkpost.Balancer.RequestStreamEnded;
import walkpost.Balancer.RequestStreamStarted;
import walkpost.Balancer.ResponseStreamStarted;
import walkpost.Balancer.Send;
import walkpost.Balancer.SetTimer;
import walkpost.Balancer.TimerFired;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests bodies that are relayed as they arrive, in the forms that HTTP/1.1 has for them. */
class StreamedBodyTest {
    private static final String LONG = "0123456789abcdef".repeat(40_000);
    /** An idle timeout that no test waits for. */
    private static final long IDLE_US = 60_000_000;
    private static final String HALF = LONG.substring(LONG.length() / 2);

    private static String chunked(String body, String trailers) {
        var text = new StringBuilder();
        for (int start = 0; start < body.length(); start += 10_000) {
            String chunk = body.substring(start, Math.min(body.length(), start + 10_000));
            text.append(Integer.toHexString(chunk.length())).append("\r\n").append(chunk).append("\r\n");
        }
        return text + "0\r\n" + trailers + "\r\n";
    }

    private static String chunkedPost(String id) {
        return ProxyFixture.post(id, "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
    }

    /** Sends from another thread, because back-pressure may block the sender. */
    private static void sendInBackground(RawConnection connection, String text) {
        CompletableFuture.runAsync(() -> {
            try {
                connection.send(text);
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    @Test
    void relaysALongRequestAndStartsItsDeadlineAtItsEnd() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server); var client = proxy.client()) {
            BlockingQueue<RawConnection.Message> received = server.answerAll(FakeServer.okResponse("made"));
            sendInBackground(client, ProxyFixture.post("r1", LONG));
            assertThat(client.read().body()).isEqualTo("made");
            RawConnection.Message request = FakeServer.takeNext(received);
            assertThat(request.body()).isEqualTo(LONG);
            assertThat(request.header("X-Request-ID")).isEqualTo("r1");
            assertThat(proxy.nextEvent(RequestStreamStarted.class)).isEqualTo(new RequestStreamStarted("r1", 0));
            assertThat(proxy.nextEvent(RequestStreamEnded.class).leftUs()).isBetween(1_000_000L, 1_900_000L);
            assertThat(proxy.nextEvent(AttemptEnded.class).outcome()).isEqualTo(Outcome.OK);
            // The connections stay usable.
            assertThat(client.send(ProxyFixture.get("r2")).read().body()).isEqualTo("made");
        }
    }

    @Test
    void relaysALongRequestOfUnknownLengthWithItsTrailers() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server); var client = proxy.client()) {
            sendInBackground(client, chunkedPost("r1") + chunked(LONG, "X-Sum: 7\r\n"));
            RawConnection attempt = server.accept();
            RawConnection.Message request = attempt.readChunked();
            assertThat(request.body()).isEqualTo(LONG);
            assertThat(request.header("X-Sum")).isEqualTo("7");
            attempt.send(FakeServer.okResponse("made"));
            assertThat(client.read().body()).isEqualTo("made");
        }
    }

    @Test
    void relaysALongResponseAndReportsItsStart() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server); var client = proxy.client()) {
            client.send(ProxyFixture.get("r1"));
            RawConnection attempt = server.accept();
            attempt.read();
            attempt.send("HTTP/1.1 200 OK\r\nContent-Length: " + LONG.length() + "\r\n\r\n" + LONG.charAt(0));
            assertThat(proxy.nextEvent(ResponseStreamStarted.class)).isEqualTo(new ResponseStreamStarted("r1", 0));
            sendInBackground(attempt, LONG.substring(1));
            assertThat(client.read().body()).isEqualTo(LONG);
            AttemptEnded ended = proxy.nextEvent(AttemptEnded.class);
            assertThat(ended.outcome()).isEqualTo(Outcome.OK);
            assertThat(ended.last()).isTrue();
            client.send(ProxyFixture.get("r2"));
            assertThat(attempt.read().header("X-Request-ID")).isEqualTo("r2");
        }
    }

    @Test
    void relaysALongResponseOfUnknownLengthWithItsTrailers() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server); var client = proxy.client()) {
            server.answerAll("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(LONG, "X-Sum: 7\r\n"));
            RawConnection.Message response = client.send(ProxyFixture.get("r1")).readChunked();
            assertThat(response.body()).isEqualTo(LONG);
            assertThat(response.header("X-Sum")).isEqualTo("7");
            assertThat(client.send(ProxyFixture.get("r2")).readChunked().body()).isEqualTo(LONG);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aResponseMayEndWithItsConnection(boolean isLong) throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server); var client = proxy.client()) {
            client.send(ProxyFixture.get("r1"));
            try (RawConnection attempt = server.accept()) {
                attempt.read();
                attempt.send("HTTP/1.1 200 OK\r\n\r\n" + (isLong ? LONG : "made"));
            }
            assertThat(isLong ? client.readChunked().body() : client.read().body()).isEqualTo(isLong ? LONG : "made");
        }
    }

    /** HTTP/1.0 has no chunked coding, so the close of the connection ends such a response. */
    @Test
    void anHttp10ClientGetsALongResponseWithoutChunks() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server); var client = proxy.client()) {
            server.answerAll("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(LONG, ""));
            client.send(ProxyFixture.get("r1").replace("HTTP/1.1", "HTTP/1.0"));
            String response = client.readToEnd();
            assertThat(response).doesNotContainIgnoringCase("transfer-encoding").endsWith("\r\n\r\n" + LONG);
        }
    }

    /** A response that has started cannot be retried, but the client must not take the part it has for the whole. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 640000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n4e200\r\n"})
    void aTruncatedLongResponseIsNotCompleteForTheClient(String framing) throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server); var client = proxy.client()) {
            client.send(ProxyFixture.get("r1"));
            try (RawConnection attempt = server.accept()) {
                attempt.read();
                attempt.send("HTTP/1.1 200 OK\r\n" + framing + HALF);
                proxy.nextEvent(ResponseStreamStarted.class);
            }
            assertThat(proxy.nextEvent(AttemptEnded.class).outcome()).isEqualTo(Outcome.RESET);
            if (framing.startsWith("C")) {
                assertThatThrownBy(client::read).isInstanceOf(IOException.class);
            } else {
                assertThatThrownBy(client::readChunked).isInstanceOf(IOException.class);
            }
        }
    }

    /** The proxy stops receiving a response whose client has gone, so that the server is not kept busy with it. */
    @Test
    void aClientThatLeavesDuringALongResponseCancelsTheAttempt() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server)) {
            RawConnection attempt;
            try (var client = proxy.client()) {
                client.send(ProxyFixture.get("r1"));
                attempt = server.accept();
                attempt.read();
                attempt.send("HTTP/1.1 200 OK\r\nContent-Length: 640000\r\n\r\n" + HALF);
                proxy.nextEvent(ResponseStreamStarted.class);
            }
            assertThat(attempt.awaitClose()).isTrue();
            assertThat(proxy.nextEvent(AttemptEnded.class).outcome()).isEqualTo(Outcome.CANCELLED);
        }
    }

    /** The collected start of the body is kept until bytes beyond it are written, so an unreachable server does not fail the request. */
    @Test
    void aLongRequestIsRetriedIfNoBytesOfItAreLost() throws Exception {
        var unreachable = new FakeServer();
        unreachable.close();
        try (var server = new FakeServer(); var proxy = new ProxyFixture((event, actions) -> {
            if (event instanceof Arrival a) {
                actions.accept(new Send(a.id(), "s0", 0));
            } else if (event instanceof AttemptEnded e && !e.last()) {
                actions.accept(new Send(e.id(), "s1", 0));
            }
        }, unreachable, server); var client = proxy.client()) {
            BlockingQueue<RawConnection.Message> received = server.answerAll(FakeServer.okResponse("made"));
            sendInBackground(client, ProxyFixture.post("r1", LONG));
            assertThat(client.read().body()).isEqualTo("made");
            assertThat(FakeServer.takeNext(received).body()).isEqualTo(LONG);
        }
    }

    @Test
    void aLongRequestOfWhichBytesAreLostIsNotRetried() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture((event, actions) -> {
            if (event instanceof Arrival a) {
                actions.accept(new Send(a.id(), "s0", 0));
            } else if (event instanceof AttemptEnded e && e.attempt() == 0) {
                actions.accept(new Send(e.id(), "s0", 0));
            } else if (event instanceof AttemptEnded e) {
                actions.accept(new Refuse(e.id(), 0));
            }
        }, server); var client = proxy.client()) {
            client.send(ProxyFixture.post("r1", LONG).substring(0, 200_000));
            try (RawConnection attempt = server.accept()) {
                attempt.readHead();
                attempt.skip(150_000);
            }
            assertThat(proxy.nextEvent(AttemptEnded.class).outcome()).isEqualTo(Outcome.CONNECT_FAILED);
            assertThat(proxy.nextEvent(AttemptEnded.class).outcome()).isEqualTo(Outcome.NOT_SENT);
            assertThat(client.read().status()).isEqualTo(503);
        }
    }

    /** The client can read the error even while it is still sending: no reset overtakes the response. */
    @Test
    void theResponseToAnIncompleteRequestClosesItsConnection() throws Exception {
        try (var proxy = new ProxyFixture((event, actions) -> {
            if (event instanceof Arrival a) {
                actions.accept(new Fail(a.id()));
            }
        }); var client = proxy.client()) {
            client.send(ProxyFixture.post("r1", LONG).substring(0, 100_000));
            RawConnection.Message response = client.read();
            assertThat(response.status()).isEqualTo(502);
            assertThat(response.header("Connection")).isEqualTo("close");
            assertThat(client.awaitClose()).isTrue();
        }
    }

    /** A long body may take any time in total, but must not stall or arrive too slowly. */
    @Test
    void aLongRequestThatStallsTimesOut() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server); var client = proxy.client()) {
            client.send(ProxyFixture.post("r1", LONG).substring(0, 100_000));
            RawConnection attempt = server.accept();
            attempt.readHead();
            assertThat(client.read().status()).isEqualTo(408);
            assertThat(client.awaitClose()).isTrue();
            assertThat(proxy.nextEvent(AttemptEnded.class).outcome().neverRan()).isTrue();
        }
    }

    /** Guards against a request that never gets its answer, because the proxy waits for its server to take more of the body. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aLongRequestIsAnsweredThoughItsServerTakesNoMoreOfItsBody(boolean lengthKnown) throws Exception {
        String body = LONG.repeat(25);
        String request = lengthKnown ? ProxyFixture.post("r1", body) : chunkedPost("r1") + chunked(body, "");
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), 1_024, IDLE_US, server);
                var client = proxy.client()) {
            sendInBackground(client, request.replace("1900m", "300m"));
            server.accept().readHead();
            assertThat(client.read().status()).isEqualTo(502);
            assertThat(proxy.nextEvent(AttemptEnded.class).outcome()).isEqualTo(Outcome.CONNECT_FAILED);
        }
    }

    /** Guards against a failure that is not counted against the server, because the loop stood still past both timers of the request. */
    @Test
    void anAttemptWhoseBodyIsNotTakenTimesOutBeforeTheSafetyTimer() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture((event, actions) -> {
            if (event instanceof Arrival) {
                actions.accept(new SetTimer(inMs(300), "send"));
                actions.accept(new SetTimer(inMs(1_500), "stand still"));
            } else if (event instanceof TimerFired timer && timer.token().equals("send")) {
                actions.accept(new Send("r1", "s0", 0));
            } else if (event instanceof TimerFired) {
                LockSupport.parkNanos(Duration.ofMillis(1_500).toNanos());
            }
        }, 1_024, IDLE_US, server); var client = proxy.client()) {
            String request = ProxyFixture.post("r1", LONG.repeat(25));
            client.send(request.substring(0, 100_000));
            proxy.nextEvent(RequestStreamStarted.class);
            sendInBackground(client, request.substring(100_000));
            assertThat(proxy.nextEvent(AttemptEnded.class).outcome()).isEqualTo(Outcome.CONNECT_FAILED);
        }
    }

    private static long inMs(long ms) {
        return TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis() + ms);
    }

    /** Guards against a deadline that counts from when the proxy reads a body's last byte, long after the client has written it. */
    @Test
    void theTimeInWhichALongRequestWaitsUnreadCountsForItsDeadline() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture((event, actions) -> {
            // The first request is sent when the second one arrives.
            if (event instanceof Arrival a && a.id().equals("r2")) {
                actions.accept(new Send("r1", "s0", 0));
            }
        }, server); var client = proxy.client(); var secondClient = proxy.client()) {
            client.send(ProxyFixture.post("r1", LONG.substring(0, 200_000)));
            proxy.nextEvent(Arrival.class);
            proxy.advanceClock(Duration.ofSeconds(1));
            secondClient.send(ProxyFixture.get("r2"));
            RawConnection attempt = server.accept();
            assertThat(Long.parseLong(attempt.read().header("X-Timeout").replace("u", ""))).isLessThanOrEqualTo(900_000);
            assertThat(proxy.nextEvent(RequestStreamEnded.class).leftUs()).isLessThanOrEqualTo(900_000);
            attempt.send(FakeServer.okResponse("made"));
            assertThat(client.read().body()).isEqualTo("made");
        }
    }

    /** Guards against a deadline that passes while the client still sends its body. */
    @Test
    void aLongRequestMayTakeLongerThanItsTimeoutToArrive() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server); var client = proxy.client()) {
            server.answerAll(FakeServer.okResponse("made"));
            String request = ProxyFixture.post("r1", LONG).replace("1900m", "300m");
            int pieceLength = request.length() / 8 + 1;
            for (int start = 0; start < request.length(); start += pieceLength) {
                client.send(request.substring(start, Math.min(request.length(), start + pieceLength)));
                Thread.sleep(100);
            }
            assertThat(client.read().body()).isEqualTo("made");
        }
    }

    @Test
    void sendsContinueToAClientThatExpectsIt() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server); var client = proxy.client()) {
            BlockingQueue<RawConnection.Message> received = server.answerAll(FakeServer.okResponse("made"));
            String request = ProxyFixture.post("r1", "body").replace("\r\n\r\nbody", "\r\nExpect: 100-continue\r\n\r\n");
            assertThat(client.send(request).readHead().status()).isEqualTo(100);
            assertThat(client.send("body").read().body()).isEqualTo("made");
            assertThat(FakeServer.takeNext(received).header("Expect")).isNull();
        }
    }

    @Test
    void forwardsATargetWithoutSchemeAndHost() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server); var client = proxy.client()) {
            BlockingQueue<RawConnection.Message> received = server.answerAll(FakeServer.okResponse("made"));
            client.send(ProxyFixture.get("r1").replace("GET /api", "GET http://service.internal/api")).read();
            assertThat(FakeServer.takeNext(received).first()).isEqualTo("GET /api?k=u1 HTTP/1.1");
        }
    }

    /** Guards against request smuggling: with two lengths, one server could see two requests where another one sees one. */
    @Test
    void aRequestWithTwoLengthsIsRejected() throws Exception {
        try (var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"))) {
            for (String secondLength : new String[] {"Transfer-Encoding: chunked", "Content-Length: 5"}) {
                try (var client = proxy.client()) {
                    client.send(ProxyFixture.post("r1", "body").replace("Content-Length", secondLength + "\r\nContent-Length"));
                    assertThat(client.read().status()).isEqualTo(400);
                    assertThat(client.awaitClose()).isTrue();
                }
            }
            assertThat(proxy.events).noneMatch(Arrival.class::isInstance);
        }
    }
}

package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import walkpost.Balancer.Arrival;
import walkpost.Balancer.AttemptEnded;
import walkpost.Balancer.Fail;
import walkpost.Balancer.Outcome;
import walkpost.Balancer.Release;
import walkpost.Balancer.Send;
import walkpost.Balancer.Watch;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the outcomes of attempts: an attempt may be reported as never run only if that is certain, because it is then sent again. */
class ServerConnectionsTest {
    @ParameterizedTest
    @CsvSource({"503 Unavailable,X-Not-Processed: 1,FULL", "504 Late,X-Not-Processed: 1,FULL",
        "503 Unavailable,X-Not-Processed: 0,ERROR", "504 Late,X-Other: 1,ERROR", "500 Error,X-Not-Processed: 1,ERROR",
        "404 Unknown,X-Other: 1,ERROR", "200 OK,X-Not-Processed: 1,OK"})
    void mapsResponsesToOutcomes(String status, String header, Outcome outcome) throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server); var client = proxy.client()) {
            server.answerAll(FakeServer.response(status, "x", header));
            client.send(ProxyFixture.get("r1"));
            assertThat(proxy.nextEvent(AttemptEnded.class).outcome()).isEqualTo(outcome);
            assertThat(client.read().status()).isEqualTo(outcome == Outcome.OK ? 200 : 502);
        }
    }

    @ParameterizedTest
    @CsvSource({"''", "HTTP/1.1 200 OK\r\nContent-Le", "'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf'",
        "'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n'"})
    void reportsAResetIfTheConnectionBreaksAfterTheLastByte(String partOfResponse) throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server); var client = proxy.client()) {
            client.send(ProxyFixture.get("r1"));
            try (RawConnection connection = server.accept()) {
                connection.read();
                connection.send(partOfResponse);
            }
            assertThat(proxy.nextEvent(AttemptEnded.class).outcome()).isEqualTo(Outcome.RESET);
            assertThat(client.read().status()).isEqualTo(502);
        }
    }

    @Test
    void reportsConnectFailedIfTheConnectionIsRefused() throws Exception {
        var server = new FakeServer();
        server.close();
        try (var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server); var client = proxy.client()) {
            client.send(ProxyFixture.get("r1"));
            assertThat(proxy.nextEvent(AttemptEnded.class).outcome()).isEqualTo(Outcome.CONNECT_FAILED);
            assertThat(client.read().status()).isEqualTo(502);
        }
    }

    /** The server responded, so the request may have run; and nothing that follows on that connection may count as a response. */
    @ParameterizedTest
    @ValueSource(strings = {"rubbish\r\n\r\n",
        "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 4\r\n\r\nmade",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmade\r\n0\r\nno colon here\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmade\r\nzz\r\nmade\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nmade",
        "HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\nmade",
        "HTTP/2.7 200 OK\r\nContent-Length: 4\r\n\r\nmade",
        "HTTP/1.1 101 Other\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n"})
    void reportsAnErrorAndClosesTheConnectionAfterAMalformedResponse(String malformed) throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server); var client = proxy.client()) {
            client.send(ProxyFixture.get("r1"));
            RawConnection connection = server.accept();
            connection.read();
            connection.send(malformed + FakeServer.okResponse("not asked for"));
            assertThat(proxy.nextEvent(AttemptEnded.class).outcome()).isEqualTo(Outcome.ERROR);
            assertThat(client.read().status()).isEqualTo(502);
            assertThat(connection.awaitClose()).isTrue();
        }
    }

    /** RFC 9112, 5.1, has a proxy remove the space before a colon; and interim (1xx) responses precede the response. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nmade",
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade"})
    void passesOnUnusualButValidResponses(String unusual) throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server); var client = proxy.client()) {
            server.answerAll(unusual);
            assertThat(client.send(ProxyFixture.get("r1")).read().body()).isEqualTo("made");
        }
    }

    @Test
    void doesNotUseASecondResponseForTheNextRequest() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server); var client = proxy.client()) {
            client.send(ProxyFixture.get("r1"));
            RawConnection connection = server.accept();
            connection.read();
            connection.send(FakeServer.okResponse("one") + FakeServer.okResponse("two"));
            assertThat(client.read().body()).isEqualTo("one");
            assertThat(connection.awaitClose()).isTrue();
            client.send(ProxyFixture.get("r2"));
            RawConnection next = server.accept();
            next.read();
            next.send(FakeServer.okResponse("three"));
            assertThat(client.read().body()).isEqualTo("three");
        }
    }

    /**
     * The second request is sent as soon as the first has its response, within the same read of the connection: bytes that the server sent
     * after the first response must not become the response to the second request.
     */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade", "HTTP/1.1 200 OK\r\nConte", "made"})
    void doesNotUseBytesAfterAResponseForAQueuedRequest(String trailing) throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture((event, actions) -> {
            boolean first = event instanceof Arrival a && a.id().equals("r1");
            if (first || event instanceof AttemptEnded e && e.id().equals("r1")) {
                actions.accept(new Send(first ? "r1" : "r2", "s0", 0));
            } else if (event instanceof AttemptEnded e && !e.last()) {
                actions.accept(new Fail(e.id()));
            }
        }, server); var one = proxy.client(); var two = proxy.client()) {
            one.send(ProxyFixture.get("r1"));
            RawConnection first = server.accept();
            first.read();
            proxy.nextEvent(Arrival.class);
            two.send(ProxyFixture.get("r2"));
            proxy.nextEvent(Arrival.class);
            first.send(FakeServer.okResponse("one") + trailing);
            assertThat(one.read().body()).isEqualTo("one");
            BlockingQueue<RawConnection.Message> seen = server.answerAll(FakeServer.okResponse("two"));
            assertThat(two.read().body()).isEqualTo("two");
            assertThat(FakeServer.takeNext(seen).header("X-Request-ID")).isEqualTo("r2");
            assertThat(first.awaitClose()).isTrue();
        }
    }

    @Test
    void readsOnlyTheHeadOfALongResponseOtherThan200() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server); var client = proxy.client()) {
            client.send(ProxyFixture.get("r1"));
            RawConnection connection = server.accept();
            connection.read();
            connection.send("HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 70000\r\n\r\n");
            assertThat(proxy.nextEvent(AttemptEnded.class).outcome()).isEqualTo(Outcome.FULL);
            assertThat(connection.awaitClose()).isTrue();
        }
    }

    /** Only one attempt may be in progress: the connection of one that timed out is closed before the next one starts. */
    @Test
    void closesTheConnectionOfATimedOutAttemptBeforeTheNextAttempt() throws Exception {
        try (var slow = new FakeServer(); var other = new FakeServer(); var proxy = new ProxyFixture((event, actions) -> {
            if (event instanceof Arrival a) {
                actions.accept(new Send(a.id(), "s0", 50_000));
            } else if (event instanceof AttemptEnded e && e.outcome() == Outcome.TIMEOUT) {
                actions.accept(new Send(e.id(), "s1", 0));
            }
        }, slow, other); var client = proxy.client()) {
            client.send(ProxyFixture.get("r1"));
            RawConnection first = slow.accept();
            first.read();
            RawConnection second = other.accept();
            second.read();
            assertThat(first.awaitClose()).isTrue();
            second.send(FakeServer.okResponse("x"));
            assertThat(client.read().status()).isEqualTo(200);
        }
    }

    @Test
    void reusesConnectionsUntilTheyAreReleased() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture((event, actions) -> {
            if (event instanceof Arrival a && a.id().equals("r3")) {
                actions.accept(new Release("s0"));
            }
            ProxyFixture.sendTo("s0").handle(event, actions);
        }, server); var client = proxy.client()) {
            client.send(ProxyFixture.get("r1"));
            RawConnection first = server.accept();
            for (String next : List.of("r2", "r3")) {
                first.read();
                first.send(FakeServer.okResponse("x"));
                assertThat(client.read().status()).isEqualTo(200);
                client.send(ProxyFixture.get(next));
            }
            assertThat(first.awaitClose()).isTrue();
            RawConnection second = server.accept();
            assertThat(second.read().header("X-Request-ID")).isEqualTo("r3");
        }
    }

    /** A request that crosses the server's close of an idle connection may have run, so this side must close the connection first. */
    @Test
    void closesIdleConnectionsBeforeTheServerDoes() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), 1_024, 500_000, server);
                var client = proxy.client()) {
            client.send(ProxyFixture.get("r1"));
            RawConnection connection = server.accept();
            connection.read();
            connection.send(FakeServer.okResponse("x"));
            client.read();
            assertThat(connection.awaitClose()).isTrue();
        }
    }

    /** An attempt counts as sent from its first byte, so one that still waits for its connection must not be sent after a drain. */
    @Test
    void aDrainStopsAttemptsThatAreStillConnecting() throws Exception {
        try (var full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress()); var server = new FakeServer();
                var proxy = new ProxyFixture(watching("s1"), server); var client = proxy.client()) {
            List<Socket> queued = fillAcceptQueue(full);
            String address = "127.0.0.1:" + full.getLocalPort();
            RawConnection watch = proxy.discovery.accept();
            watch.read();
            watch.send(FakeServer.okResponse(ProxyFixture.serverList(42, false, ProxyFixture.serverEntry("s1", address, "ready"))));
            RawConnection next = proxy.discovery.accept();
            next.read();
            client.send(ProxyFixture.get("r1"));
            proxy.nextEvent(Arrival.class);
            next.send(FakeServer.okResponse(ProxyFixture.serverList(43, false, ProxyFixture.serverEntry("s1", address, "draining"))));
            assertThat(proxy.nextEvent(AttemptEnded.class).outcome()).isEqualTo(Outcome.NOT_SENT);
            assertThat(client.read().status()).isEqualTo(502);
            for (Socket socket : queued) {
                socket.close();
            }
        }
    }

    private static ProxyFixture.BalancerStub watching(String server) {
        var watchRequested = new boolean[1];
        return (event, actions) -> {
            if (!watchRequested[0]) {
                watchRequested[0] = true;
                actions.accept(new Watch(true));
            }
            ProxyFixture.sendTo(server).handle(event, actions);
        };
    }

    /** A server is identified by its id, not by its address: connections kept open to its old address must not be used again. */
    @Test
    void followsAServerToItsNewAddress() throws Exception {
        try (var old = new FakeServer(); var moved = new FakeServer(); var proxy = new ProxyFixture(watching("s0"), 1_024, 60_000_000, old);
                var client = proxy.client()) {
            client.send(ProxyFixture.get("r1"));
            RawConnection connection = old.accept();
            connection.read();
            connection.send(FakeServer.okResponse("old"));
            assertThat(client.read().body()).isEqualTo("old");
            RawConnection watch = proxy.discovery.accept();
            watch.read();
            watch.send(FakeServer.okResponse(ProxyFixture.serverList(42, false, ProxyFixture.serverEntry("s0", moved.address(), "ready"))));
            assertThat(connection.awaitClose()).isTrue();
            moved.answerAll(FakeServer.okResponse("new"));
            assertThat(client.send(ProxyFixture.get("r2")).read().body()).isEqualTo("new");
        }
    }

    /** Opens connections until the accept queue of a listener that accepts none is full, so that the next connect waits. */
    private static List<Socket> fillAcceptQueue(ServerSocket server) throws IOException {
        var queued = new ArrayList<Socket>();
        while (true) {
            var socket = new Socket();
            try {
                socket.connect(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), 100);
                queued.add(socket);
            } catch (java.net.SocketTimeoutException e) {
                socket.close();
                return queued;
            }
        }
    }
}

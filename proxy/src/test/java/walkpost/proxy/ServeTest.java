package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import walkpost.Balancer;
import walkpost.Balancer.Arrival;
import walkpost.Balancer.Fetch;
import walkpost.Balancer.ListUpdate;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** Tests the proxy as a whole: with its own balancer, at a planned restart and at the limit of connections. */
class ServeTest {
    /** With the balancer that it has in production the proxy watches the server list, serves, retries on another server and refuses. */
    @Test
    void servesWithTheProductionBalancer() throws Exception {
        var dead = new FakeServer();
        dead.close();
        try (var server = new FakeServer(); var proxy = ProxyFixture.withPolicy(dead, server); var client = proxy.client()) {
            server.answerAll(FakeServer.okResponse("served"));
            RawConnection call = proxy.discovery.accept();
            assertThat(call.read().first()).contains("from=41&hold_ms=0");
            for (int i = 0; i < 10; i++) {
                assertThat(client.send(ProxyFixture.post("r" + i, "pay")).read().body()).isEqualTo("served");
            }
            call.send(FakeServer.okResponse(ProxyFixture.serverList(42, true)));
            proxy.discovery.accept().read();
            RawConnection.Message answer = client.send(ProxyFixture.get("none")).read();
            assertThat(answer.status()).isEqualTo(503);
            assertThat(answer.header("Retry-After")).matches("[01]\\.[0-9]{3}");
        }
    }

    /** Guards against lost requests at a restart: accepted requests are answered, and so are clients that the front still sends here. */
    @Test
    void answersAllAcceptedRequestsBeforeItEnds() throws Exception {
        var fetched = new AtomicBoolean();
        try (var server = new FakeServer(); var proxy = new ProxyFixture((event, actions) -> {
            if (!fetched.getAndSet(true)) {
                actions.accept(new Fetch());
            }
            ProxyFixture.sendTo("s0").handle(event, actions);
        }, server); var busy = proxy.client(); var idle = proxy.client(); var used = proxy.client()) {
            String serverEntry = ProxyFixture.serverEntry("s0", server.address(), "ready");
            proxy.discovery.answerAll(FakeServer.okResponse(ProxyFixture.serverList(42, true, serverEntry)));
            proxy.nextEvent(Balancer.ListUpdate.class);
            proxy.nextEvent(Balancer.ListUpdate.class);
            assertThat(used.send("GET /ready HTTP/1.1\r\n\r\n").read().status()).isEqualTo(200);
            busy.send(ProxyFixture.get("r1"));
            RawConnection slow = server.accept();
            slow.read();
            idle.send("GET /other HTTP/1.1\r\n\r\n").read();
            used.send("GET /other HTTP/1.1\r\n\r\n").read();
            CompletableFuture<Void> drained = CompletableFuture.runAsync(proxy::drain);
            RawConnection.Message answer = used.send("GET /ready HTTP/1.1\r\n\r\n").read();
            while (answer.status() == 200) {
                answer = used.send("GET /ready HTTP/1.1\r\n\r\n").read();
            }
            assertThat(answer.header("Connection")).isNull();
            // The shutdown has begun. The proxy still serves the clients that it has and those that the front still sends.
            try (var late = proxy.client()) {
                late.send(ProxyFixture.get("r2"));
                RawConnection attempt = server.accept();
                attempt.read();
                attempt.send(FakeServer.okResponse("late"));
                assertThat(late.read().body()).isEqualTo("late");
            }
            slow.send(FakeServer.okResponse("slow"));
            assertThat(busy.read().body()).isEqualTo("slow");
            // A request whose deadline is after the end of the process is answered before the end.
            used.send(ProxyFixture.get("r3").replace("1900m", "9000m"));
            assertThat(slow.read().header("X-Request-ID")).isEqualTo("r3");
            assertThat(idle.awaitClose()).isTrue();
            assertThatThrownBy(proxy::client).isInstanceOf(IOException.class);
            assertThat(drained).isNotDone();
            answer = used.read();
            assertThat(answer.status()).isEqualTo(502);
            assertThat(answer.header("Connection")).isEqualTo("close");
            assertThat(used.awaitClose()).isTrue();
            drained.get(10, TimeUnit.SECONDS);
        }
    }

    /** Guards against failed requests when there are more clients than connections: the proxy closes idle connections to make room. */
    @Test
    void closesIdleConnectionsToMakeRoom() throws Exception {
        var clients = new ArrayList<RawConnection>();
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), 128, 15_000_000, server)) {
            server.answerAll(FakeServer.okResponse("x"));
            for (int i = 0; i < 200; i++) {
                RawConnection client = proxy.client();
                clients.add(client);
                assertThat(client.send(ProxyFixture.get("r" + i)).read().status()).isEqualTo(200);
            }
            assertThat(clients.get(0).awaitClose()).isTrue();
            assertThat(clients.get(199).send(ProxyFixture.get("again")).read().status()).isEqualTo(200);
        } finally {
            for (RawConnection client : clients) {
                client.close();
            }
        }
    }

    /** Guards against a client that is never accepted: if all connections are busy, it waits until there is room again. */
    @Test
    void acceptsAWaitingClientOnceThereIsRoom() throws Exception {
        var clients = new ArrayList<RawConnection>();
        try (var server = new FakeServer(); var proxy = new ProxyFixture((event, actions) -> {
            if (event instanceof Arrival a && a.id().startsWith("last")) {
                ProxyFixture.sendTo("s0").handle(event, actions);
            }
        }, 128, 15_000_000, server)) {
            server.answerAll(FakeServer.okResponse("x"));
            for (int i = 0; i < 60; i++) {
                clients.add(proxy.client().send(ProxyFixture.get("r" + i)));
            }
            RawConnection last = proxy.client().send(ProxyFixture.get("last"));
            clients.add(last);
            // The balancer never answers the other requests. The proxy fails them after their deadlines, which makes room.
            assertThat(last.read()).isNotNull();
            for (RawConnection client : List.copyOf(clients).subList(0, 20)) {
                assertThat(client.read().status()).isEqualTo(502);
            }
        } finally {
            for (RawConnection client : clients) {
                client.close();
            }
        }
    }
}

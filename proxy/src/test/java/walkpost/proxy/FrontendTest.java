package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import walkpost.Balancer.Arrival;
import walkpost.Balancer.ClientGone;
import walkpost.Balancer.Fail;
import walkpost.Balancer.Refuse;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the client side of the proxy on loopback sockets. */
class FrontendTest {
    private static final ProxyFixture.BalancerStub INACTIVE = (event, actions) -> { };

    @Test
    void forwardsRequestAndResponseUnchanged() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server); var client = proxy.client()) {
            BlockingQueue<RawConnection.Message> received = server.answerAll(FakeServer.response("200 OK", "an\r\n\r\nswer",
                    "Content-Type: a/b", "Connection: X-Hop", "X-Hop: 1"));
            RawConnection.Message response = client.send(ProxyFixture.post("r1", "bo\r\n\0dy")).read();
            RawConnection.Message request = FakeServer.takeNext(received);
            assertThat(request.first()).isEqualTo("POST /api?k=u%201&x HTTP/1.1");
            assertThat(request.body()).isEqualTo("bo\r\n\0dy");
            assertThat(request.header("X-Request-ID")).isEqualTo("r1");
            assertThat(request.header("Idempotency-Key")).isEqualTo("5c0f");
            assertThat(request.header("X-Timeout")).matches("1[0-9]{6}u");
            assertThat(response.status()).isEqualTo(200);
            assertThat(response.body()).isEqualTo("an\r\n\r\nswer");
            assertThat(response.header("Content-Type")).isEqualTo("a/b");
            assertThat(response.header("X-Hop")).isNull();
            Arrival arrival = proxy.nextEvent(Arrival.class);
            assertThat(arrival.requestClass()).isEqualTo("pay");
            assertThat(arrival.tenant()).isEqualTo("acme");
            assertThat(arrival.key()).isEqualTo("u 1");
            assertThat(arrival.repeat()).isFalse();
            assertThat(arrival.leftUs()).isPositive().isLessThan(1_900_000);
            assertThat(client.send(ProxyFixture.get("r2")).read().status()).isEqualTo(200);
        }
    }

    /** The cost estimate is optional, so a malformed one counts as absent and does not reject the request. */
    @ParameterizedTest
    @CsvSource({"X-Cost: 18500,18500", "X-Cost: -3,0", "X-Cost: much,0", "X-Cost: 99999999999,0", "X-Other: 1,0"})
    void passesTheCostEstimateToTheBalancer(String header, long costUs) throws Exception {
        try (var proxy = new ProxyFixture(INACTIVE); var client = proxy.client()) {
            client.send(ProxyFixture.get("r1").replace("X-Tenant-Id", header + "\r\nX-Tenant-Id"));
            assertThat(proxy.nextEvent(Arrival.class).costUs()).isEqualTo(costUs);
        }
    }

    /** An invalid request reaches neither a server nor the balancer. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "X-Priority-Class: read|X-Priority-Class: write|400",
        "X-Priority-Class: read|X-Other: read|400",
        "X-Priority-Class: read|X-Priority-Class: pay|405",
        "X-Request-ID: r1|X-Other: r1|400",
        "X-Tenant-Id: acme|X-Tenant-Id: nobody|400",
        "X-Tenant-Id: acme|X-Other: acme|400",
        "X-Timeout: 1900m|X-Timeout: soon|400",
        "X-Timeout: 1900m|X-Timeout: 0m|400",
        "X-Timeout: 1900m|X-Timeout: -5m|400",
        "X-Timeout: 1900m|X-Timeout: 123456789m|400",
        "X-Timeout: 1900m|X-Other: 1900m|400",
        "X-Tenant-Id: acme|no colon here|400",
        "X-Tenant-Id: acme|nocolon|400",
        "X-Tenant-Id: acme|Host: other|400",
        "X-Tenant-Id: acme|Transfer-Encoding: gzip, chunked|400",
        "X-Tenant-Id: acme|Expect: the best|417",
        "GET /api?k=u1|GET http://service.internal/apis|404",
        "GET /api?k=u1|GET /apis|404",
        "GET /api?k=u1|GET /api?k=%zz|400",
        "GET /api?k=u1|PUT /api|405",
        "GET /api?k=u1 HTTP/1.1|GET /api?k=u1 HTTP/2.7|400",
        "GET /api?k=u1 HTTP/1.1|NONSENSE|400"})
    void rejectsInvalidRequests(String valid, String invalid, int status) throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server); var client = proxy.client()) {
            assertThat(client.send(ProxyFixture.get("r1").replace(valid, invalid)).read().status()).isEqualTo(status);
            server.answerAll(FakeServer.okResponse("x"));
            assertThat(proxy.client().send(ProxyFixture.get("good")).read().status()).isEqualTo(200);
            assertThat(proxy.nextEvent(Arrival.class).id()).isEqualTo("good");
        }
    }

    @Test
    void aPathWithControlCharactersIsNotForwarded() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server)) {
            for (String bad : List.of("/api?k=a\rb", "/api?k=a\0b", "/api?k=a\u007fb")) {
                try (var client = proxy.client()) {
                    assertThat(client.send(ProxyFixture.get("r1").replace("/api?k=u1", bad)).read().status()).isEqualTo(400);
                }
            }
            assertThat(proxy.events).noneMatch(Arrival.class::isInstance);
        }
    }

    @Test
    void forwardsTheLongestBodiesThatAreCollected() throws Exception {
        String body = "0123456789abcdef".repeat(4_096);
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server); var client = proxy.client()) {
            BlockingQueue<RawConnection.Message> received = server.answerAll(FakeServer.okResponse(body));
            assertThat(client.send(ProxyFixture.post("r1", body)).read().body()).isEqualTo(body);
            assertThat(FakeServer.takeNext(received).body()).isEqualTo(body);
        }
    }

    @Test
    void aDeduplicatedRequestNeedsItsIdempotencyKey() throws Exception {
        try (var proxy = new ProxyFixture(INACTIVE); var client = proxy.client()) {
            assertThat(client.send(ProxyFixture.post("r1", "x").replace("Idempotency-Key", "X-Other")).read().status()).isEqualTo(400);
        }
    }

    /** The deadline counts from when the client sent the request, also while that waits unread because the event loop lags. */
    @Test
    void theDeadlineCountsWhileTheEventLoopLags() throws Exception {
        var resume = new CountDownLatch(1);
        try (var proxy = new ProxyFixture((event, actions) -> {
            if (event instanceof Arrival a && a.id().equals("r1")) {
                try {
                    resume.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }); var one = proxy.client(); var two = proxy.client()) {
            two.send("GET /other HTTP/1.1\r\n\r\n").read();
            one.send(ProxyFixture.get("r1"));
            proxy.nextEvent(Arrival.class);
            two.send(ProxyFixture.get("r2"));
            long sent = System.nanoTime();
            while (System.nanoTime() - sent < 400_000_000) {
                Thread.sleep(10);
            }
            resume.countDown();
            assertThat(proxy.nextEvent(Arrival.class).leftUs()).isLessThan(1_500_000);
        }
    }

    /** Neither a silent client nor one that sends a byte now and then may keep a socket that other clients need. */
    @Test
    void anIncompleteRequestTimesOut() throws Exception {
        try (var proxy = new ProxyFixture(INACTIVE); var silent = proxy.client(); var slow = proxy.client();
                var second = proxy.client()) {
            assertThat(second.send("GET /other HTTP/1.1\r\n\r\n").read().status()).isEqualTo(404);
            second.send("GET /api HTTP/1.1\r\nHost:");
            for (char c : "GET /api?".toCharArray()) {
                slow.send(String.valueOf(c));
            }
            assertThat(silent.awaitClose()).isTrue();
            assertThat(slow.read().status()).isEqualTo(408);
            assertThat(slow.awaitClose()).isTrue();
            assertThat(second.read().status()).isEqualTo(408);
            assertThat(second.awaitClose()).isTrue();
        }
    }

    /** Invalid input behind a request that is being served must neither overtake the response to it nor prevent it. */
    @Test
    void invalidInputBehindARequestIsAnsweredAfterIt() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server); var client = proxy.client()) {
            client.send(ProxyFixture.get("r1") + "RUBBISH\r\n\r\n" + ProxyFixture.get("r2"));
            RawConnection attempt = server.accept();
            attempt.read();
            attempt.send(FakeServer.okResponse("x"));
            assertThat(client.read().body()).isEqualTo("x");
            assertThat(client.read().status()).isEqualTo(400);
            assertThat(client.awaitClose()).isTrue();
        }
    }

    @Test
    void notifiesTheBalancerThatAClientHasGone() throws Exception {
        try (var proxy = new ProxyFixture(INACTIVE)) {
            try (var client = proxy.client()) {
                client.send(ProxyFixture.get("r1"));
                assertThat(proxy.nextEvent(Arrival.class).id()).isEqualTo("r1");
            }
            assertThat(proxy.nextEvent(ClientGone.class).id()).isEqualTo("r1");
        }
    }

    @Test
    void aRefusalCarriesRetryAfter() throws Exception {
        try (var proxy = new ProxyFixture((event, actions) -> {
            if (event instanceof Arrival a) {
                actions.accept(new Refuse(a.id(), a.id().equals("r1") ? 250_000 : 0));
            }
        }); var client = proxy.client()) {
            RawConnection.Message response = client.send(ProxyFixture.get("r1")).read();
            assertThat(response.status()).isEqualTo(503);
            assertThat(response.header("Retry-After")).isEqualTo("0.250");
            response = client.send(ProxyFixture.get("r2")).read();
            assertThat(response.status()).isEqualTo(503);
            assertThat(response.header("Retry-After")).isNull();
        }
    }

    /** Each pipelined request gets one response, in order; a second decision of the balancer about a request is ignored. */
    @Test
    void answersInOrderAndOnce() throws Exception {
        try (var proxy = new ProxyFixture((event, actions) -> {
            if (event instanceof Arrival a) {
                actions.accept(new Refuse(a.id(), 0));
                actions.accept(new Fail(a.id()));
            }
        }); var client = proxy.client()) {
            client.send(ProxyFixture.get("r1") + ProxyFixture.get("r2").replace("/api", "/other") + ProxyFixture.get("r3"));
            assertThat(client.read().status()).isEqualTo(503);
            assertThat(client.read().status()).isEqualTo(404);
            assertThat(client.read().status()).isEqualTo(503);
        }
    }

    @Test
    void aRequestWithTheIdOfOneInProgressIsRejected() throws Exception {
        try (var proxy = new ProxyFixture(INACTIVE); var one = proxy.client(); var two = proxy.client()) {
            one.send(ProxyFixture.get("r1"));
            proxy.nextEvent(Arrival.class);
            assertThat(two.send(ProxyFixture.get("r1")).read().status()).isEqualTo(409);
        }
    }

    @Test
    void closesTheConnectionIfTheClientAsksForIt() throws Exception {
        try (var proxy = new ProxyFixture(INACTIVE); var client = proxy.client()) {
            RawConnection.Message response = client.send("GET /other HTTP/1.1\r\nConnection: close\r\n\r\n").read();
            assertThat(response.status()).isEqualTo(404);
            assertThat(response.header("Connection")).isEqualTo("close");
            assertThat(client.awaitClose()).isTrue();
        }
    }
}

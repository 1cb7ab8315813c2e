package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import walkpost.Balancer.Arrival;
import walkpost.Balancer.AttemptEnded;
import walkpost.Balancer.Cancel;
import walkpost.Balancer.ClientGone;
import walkpost.Balancer.Refuse;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests ids that come again after the connection, or the process, that they came to first. */
@Timeout(60)
class RepeatedRequestIdTest {
    private static String request(String id, String requestClass) {
        return ProxyFixture.post(id, "body").replace("Class: pay", "Class: " + requestClass);
    }

    @ParameterizedTest
    @ValueSource(strings = {"pay", "vote"})
    void anIdThatMayHaveRunIsNotSentAgainAfterItsClientHasLeft(String requestClass) throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture((event, actions) -> {
            if (event instanceof ClientGone gone) {
                actions.accept(new Cancel(gone.id(), 0));
            } else {
                ProxyFixture.sendTo("s0").handle(event, actions);
            }
        }, server); var again = proxy.client()) {
            try (var client = proxy.client()) {
                client.send(request("r1", requestClass));
                RawConnection attempt = server.accept();
                attempt.read();
            }
            proxy.nextEvent(AttemptEnded.class);
            server.answerAll(FakeServer.okResponse("served"));
            assertThat(again.send(request("r1", requestClass)).read().status()).isEqualTo(409);
            assertThat(again.send(request("r2", requestClass)).read().body()).isEqualTo("served");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"pay", "vote"})
    void anIdThatHasBeenServedIsNotSentAgain(String requestClass) throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server); var client = proxy.client()) {
            server.answerAll(FakeServer.okResponse("served"));
            assertThat(client.send(request("r1", requestClass)).read().body()).isEqualTo("served");
            proxy.nextEvent(AttemptEnded.class);
            assertThat(client.send(request("r1", requestClass)).read().status()).isEqualTo(409);
        }
    }

    @Test
    void anIdThatNoServerHasGotMayComeAgain() throws Exception {
        try (var proxy = new ProxyFixture((event, actions) -> {
            if (event instanceof Arrival arrival) {
                actions.accept(new Refuse(arrival.id(), 0));
            }
        }); var client = proxy.client()) {
            assertThat(client.send(request("r1", "vote")).read().status()).isEqualTo(503);
            assertThat(client.send(request("r1", "vote")).read().status()).isEqualTo(503);
        }
    }

    @Test
    void anIdThatIsSafeToRepeatMayComeAgain() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server); var client = proxy.client()) {
            server.answerAll(FakeServer.okResponse("served"));
            assertThat(client.send(ProxyFixture.get("r1")).read().body()).isEqualTo("served");
            assertThat(client.send(ProxyFixture.get("r1")).read().body()).isEqualTo("served");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"pay", "vote"})
    void anIdThatTheOtherProcessOfAnUpgradeHasSentIsNotSentAgain(String requestClass, @TempDir Path tempDir) throws Exception {
        var loopback = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        try (var server = new FakeServer(); var oldSocket = ServerSocketChannel.open().bind(loopback);
                var newSocket = ServerSocketChannel.open().bind(loopback);
                var old = ProxyFixture.withInheritedListener(oldSocket, ProxyFixture.sendTo("s0"), tempDir, server);
                var next = ProxyFixture.withInheritedListener(newSocket, ProxyFixture.sendTo("s0"), tempDir, server);
                var client = old.client()) {
            server.answerAll(FakeServer.okResponse("served"));
            assertThat(client.send(request("r1", requestClass)).read().body()).isEqualTo("served");
            // Opened only now: either process may wait for a list while the other one serves, longer than an idle client may stay.
            try (var again = next.client()) {
                assertThat(again.send(request("r1", requestClass)).read().status()).isEqualTo(409);
            }
        }
    }
}

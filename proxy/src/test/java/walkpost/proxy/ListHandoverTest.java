package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import walkpost.Balancer;

/**
 * Tests what the new process of an upgrade takes over from the old one. The two proxies of a test have the same directory, and each a
 * listening socket of its own: in one process they would close it for each other.
 */
@Timeout(30)
class ListHandoverTest {
    /** What happens to the calls of the new process to discovery. */
    private enum Trouble { REJECTED, CLOSED, BROKEN_OFF, SILENT }

    /** What the old process is told of the server that leaves, and when. */
    private enum Change {
        DRAINING, GONE,
        /** The change comes after the start of the new process. */
        DRAINING_LATER,
        /** The change comes during the shutdown of the old process. */
        DRAINING_DURING_SHUTDOWN,
        /** The old process is gone before the new one starts. */
        OLD_PROCESS_KILLED;

        private boolean isToldBeforeTheStart() {
            return this == DRAINING || this == GONE || this == OLD_PROCESS_KILLED;
        }
    }

    private static final int REQUESTS = 20;
    private static final Duration LIST_WAIT = Duration.ofSeconds(3);

    @TempDir
    private Path tempDir;
    private final FakeServer staying;
    private final FakeServer leaving;
    private BlockingQueue<RawConnection.Message> requestsOfLeaving;

    ListHandoverTest() throws IOException {
        staying = new FakeServer();
        leaving = new FakeServer();
    }

    @BeforeEach
    void startServers() {
        staying.answerAll(FakeServer.okResponse("stays"));
        requestsOfLeaving = leaving.answerAll(FakeServer.okResponse("leaves"));
    }

    @AfterEach
    void stopServers() throws IOException {
        staying.close();
        leaving.close();
    }

    static Stream<Arguments> upgrades() {
        return Arrays.stream(Trouble.values()).flatMap(trouble -> Arrays.stream(Change.values()).map(change -> Arguments.of(trouble, change)));
    }

    /** Guards against a new process that goes by an old list while discovery does not answer it. */
    @ParameterizedTest
    @MethodSource("upgrades")
    void theNextProcessSendsNothingToAServerThatTheOldOneKnowsToLeave(Trouble trouble, Change change) throws Exception {
        try (var oldSocket = openListener(); var old = startProxy(oldSocket); var newSocket = openListener()) {
            // Changes to the last known list come first: what is handed over has to include the servers that have not changed.
            answer(old.discovery.accept(), 42, change == Change.GONE, change.isToldBeforeTheStart() ? change : null);
            awaitStored(42);
            RawConnection watch = old.discovery.accept();
            if (change == Change.OLD_PROCESS_KILLED) {
                old.stop();
            }
            try (var next = startProxy(newSocket)) {
                cause(trouble, next.discovery);
                if (change == Change.DRAINING_LATER) {
                    answer(watch, 43, false, change);
                    awaitLeft(next);
                }
                next.advanceClock(LIST_WAIT);
                awaitReady(next);
                if (change == Change.DRAINING_DURING_SHUTDOWN) {
                    var client = RawConnection.connect(old.address);
                    var shutdown = new Thread(old::drain);
                    shutdown.start();
                    answer(watch, 43, false, change);
                    awaitLeft(next);
                    client.close();
                    shutdown.join();
                }
                sendRequests(next);
            }
        }
        assertThat(requestsOfLeaving).isEmpty();
    }

    /** Without trouble, the wait for a list ends with the list. */
    @Test
    void isReadyWithTheFirstListThoughAnotherProcessServes() throws Exception {
        try (var oldSocket = openListener(); var old = startProxy(oldSocket); var newSocket = openListener()) {
            answer(old.discovery.accept(), 42, true, null);
            awaitStored(42);
            try (var next = startProxy(newSocket)) {
                next.stopClock();
                answer(next.discovery.accept(), 42, true, Change.DRAINING);
                awaitReady(next);
                sendRequests(next);
            }
        }
        assertThat(requestsOfLeaving).isEmpty();
    }

    /** Guards against a process that waits for a list though its clients have no other process. */
    @Test
    void isReadyWithoutAListIfNoOtherProcessServes() throws Exception {
        try (var socket = openListener(); var proxy = startProxy(socket)) {
            proxy.stopClock();
            awaitReady(proxy);
        }
    }

    /** The old process may be told to end before the new one is ready. */
    @Test
    void doesNotWaitForAListAnyLongerOnceTheOtherProcessBeginsItsShutdown() throws Exception {
        try (var oldSocket = openListener(); var old = startProxy(oldSocket); var newSocket = openListener()) {
            answer(old.discovery.accept(), 42, true, Change.DRAINING);
            awaitStored(42);
            try (var next = startProxy(newSocket)) {
                next.stopClock();
                // The call fails, and so the time is over that a process without another one waits for.
                next.discovery.accept().close();
                next.discovery.accept();
                assertThat(next.callOperator("readyz\n")).startsWith("FAILURE");
                var shutdown = new Thread(old::drain);
                shutdown.start();
                awaitReady(next);
                sendRequests(next);
                shutdown.join();
            }
        }
        assertThat(requestsOfLeaving).isEmpty();
    }

    /** Without a directory that can be written nothing is handed over, and the proxy serves all the same. */
    @Test
    void servesWithoutADirectory() throws Exception {
        try (var socket = openListener(); var proxy = ProxyFixture.withInheritedListener(socket, null, tempDir.resolve("missing"), staying)) {
            proxy.discovery.answerAll(FakeServer.response("503 Service Unavailable", "crowded"));
            awaitReady(proxy);
            sendRequests(proxy);
        }
    }

    /** A signal to reload may come before the process has a list: the new discovery numbers its lists by itself. */
    @Test
    void asksANewDiscoveryForTheFullListAfterAListOfAnotherProcessWasAdopted() throws Exception {
        try (var oldSocket = openListener(); var old = startProxy(oldSocket); var newSocket = openListener()) {
            answer(old.discovery.accept(), 42, true, Change.DRAINING);
            awaitStored(42);
            try (var next = startProxy(newSocket)) {
                // The discovery of the new process has another address, as after a signal.
                assertThat(next.discovery.accept().read().first()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            }
        }
    }

    /** A third process may start while the second one shuts down, and follows the second one's list. */
    @Test
    void theThirdProcessTakesOverFromTheSecond() throws Exception {
        try (var socket = openListener(); var old = startProxy(socket); var secondSocket = openListener(); var thirdSocket = openListener()) {
            answer(old.discovery.accept(), 42, true, null);
            awaitStored(42);
            RawConnection watch = old.discovery.accept();
            try (var second = startProxy(secondSocket)) {
                answer(second.discovery.accept(), 43, true, Change.DRAINING);
                awaitStored(43);
                // The first process is late, and no longer counts.
                answer(watch, 42, false, null);
                try (var third = startProxy(thirdSocket)) {
                    cause(Trouble.REJECTED, third.discovery);
                    third.advanceClock(LIST_WAIT);
                    awaitReady(third);
                    sendRequests(third);
                }
            }
        }
        assertThat(requestsOfLeaving).isEmpty();
    }

    /** Guards against a new process that takes a server for warm that was restarted while it was excluded. */
    @Test
    void aServerWhoseExclusionHasJustEndedIsColdForTheNextProcessToo() throws Exception {
        try (var oldSocket = openListener(); var old = startProxy(oldSocket); var newSocket = openListener()) {
            answer(old.discovery.accept(), 42, true, null);
            awaitReady(old);
            assertThat(old.callOperator("exclude s0\n")).startsWith("SUCCESS");
            assertThat(old.callOperator("include s0\n")).startsWith("SUCCESS");
            awaitStored("included_at_ns\":{\"s0\"");
            try (var next = startProxy(newSocket)) {
                assertThat(next.nextEvent(Balancer.Excluded.class).backend()).isEqualTo("s0");
                assertThat(next.nextEvent(Balancer.Included.class).backend()).isEqualTo("s0");
            }
        }
    }

    private static ServerSocketChannel openListener() throws IOException {
        return ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    /** Starts a proxy with the balancer of production, to which both servers are known as ready. */
    private ProxyFixture startProxy(ServerSocketChannel socket) throws Exception {
        return ProxyFixture.withInheritedListener(socket, null, tempDir, staying, leaving);
    }

    /** Answers a call to discovery; {@code change} is what happened to the server that leaves, null if nothing did. */
    private void answer(RawConnection call, long version, boolean full, Change change) throws IOException {
        call.read();
        String stays = ProxyFixture.serverEntry("s0", staying.address(), "ready");
        String leaves = ProxyFixture.serverEntry("s1", leaving.address(), change == null ? "ready" : "draining");
        String[] entries = change == Change.GONE ? new String[] {stays} : new String[] {stays, leaves};
        call.send(FakeServer.okResponse(ProxyFixture.serverList(version, full, entries)));
    }

    /** Waits until the old process has stored a list. */
    private void awaitStored(long version) throws IOException {
        awaitStored("\"version\":" + version);
    }

    private void awaitStored(String text) throws IOException {
        Path file = tempDir.resolve("servers");
        while (!Files.exists(file) || !Files.readString(file).contains(text)) {
            Thread.onSpinWait();
        }
    }

    /** Waits until a proxy has been told that the second server leaves. */
    private static void awaitLeft(ProxyFixture proxy) throws InterruptedException {
        while (proxy.nextEvent(Balancer.ListUpdate.class).backends().stream()
                .noneMatch(backend -> backend.state() == Balancer.BackendState.DRAINING)) {
            Thread.onSpinWait();
        }
    }

    private static void awaitReady(ProxyFixture proxy) throws IOException {
        while (!proxy.callOperator("readyz\n").startsWith("SUCCESS")) {
            Thread.onSpinWait();
        }
    }

    private static void sendRequests(ProxyFixture proxy) throws IOException {
        try (var client = proxy.client()) {
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(client.send(ProxyFixture.get("r" + i)).read().status()).isEqualTo(200);
            }
        }
    }

    /** Lets all calls to a discovery fail from now on. */
    private static void cause(Trouble trouble, FakeServer discovery) {
        if (trouble == Trouble.REJECTED) {
            discovery.answerAll(FakeServer.response("503 Service Unavailable", "crowded"));
            return;
        }
        discovery.acceptAll(call -> {
            call.read();
            if (trouble == Trouble.BROKEN_OFF) {
                call.send("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n{\"version\":42,");
            }
            if (trouble != Trouble.SILENT) {
                call.close();
            }
        });
    }
}

package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import walkpost.Balancer.Backend;
import walkpost.Balancer.Event;
import walkpost.Balancer.Fetch;
import walkpost.Balancer.ListKind;
import walkpost.Balancer.Members;
import walkpost.Balancer.State;
import walkpost.Balancer.Watch;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The watch on the list of backends, with discovery played by the test. */
class DiscoveryClientTest {
    /** Asks to watch at its first event, and again whenever a call has failed. */
    private static Fixture.Module watcher() {
        return (event, actions) -> {
            if (event instanceof Members m && (m.kind() == ListKind.CACHED || m.kind() == ListKind.FAILED)) {
                actions.accept(new Watch(true));
            }
        };
    }

    private static Wire.Message ready(Fixture proxy) throws Exception {
        try (var client = proxy.client()) {
            return client.send("GET /ready HTTP/1.1\r\n\r\n").read();
        }
    }

    /** Where all proxies start at once, discovery answers one after the other: the list of the last life has to do then. */
    @Test
    void theKnownListDoesOnceTheFirstAnswerIsLate() throws Exception {
        var channel = new EmbeddedChannel();
        channel.freezeTime();
        var clock = new Clock();
        var config = Config.parse(Fixture.config());
        var backends = new Backends(clock, channel.eventLoop(), EmbeddedChannel::new, new Sockets(256), new Buffers(Long.MAX_VALUE), 1, 1);
        var proxy = new Proxy(clock, channel.eventLoop(), (now, event, actions) -> { }, backends);
        var discovery = new Discovery(channel.eventLoop(), NioSocketChannel::new, proxy, config.discovery(), config.settings());
        discovery.known(config.known());
        channel.advanceTimeBy(Discovery.FIRST_ANSWER_MS - 1, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertThat(discovery.settled()).isFalse();
        channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertThat(discovery.settled()).isTrue();
        channel.finishAndReleaseAll();
    }

    /** By a wall clock that is an hour ahead it started an hour ago, and would be taken for warm. */
    @Test
    void aServerThatIsListedAnewIsColdThoughTheWallClockIsAhead() throws Exception {
        long startedMs = System.currentTimeMillis() - Duration.ofHours(1).toMillis();
        try (var proxy = new Fixture(watcher())) {
            Wire call = proxy.discovery.accept();
            call.read();
            call.send(Peer.ok(Fixture.list(42, true)));
            call = proxy.discovery.accept();
            call.read();
            String entry = Fixture.entry("s7", "127.0.0.1:1", "ready").replace("\"started_ms\":7", "\"started_ms\":" + startedMs);
            call.send(Peer.ok(Fixture.list(43, false, entry)));
            Members change = proxy.next(Members.class);
            while (change.kind() != ListKind.DELTA) {
                change = proxy.next(Members.class);
            }
            assertThat(change.backends().get(0).startedAtUs()).isGreaterThan((startedMs + Duration.ofMinutes(59).toMillis()) * 1_000);
        }
    }

    /** Ready means that it can serve: not without a backend. */
    @Test
    void isReadyOnceDiscoveryHasSpoken() throws Exception {
        try (var backend = new Peer(); var proxy = new Fixture(watcher(), backend)) {
            Members known = proxy.next(Members.class);
            assertThat(known.kind()).isEqualTo(ListKind.CACHED);
            assertThat(known.backends()).containsExactly(new Backend("s0", State.READY, "m", "a", 1, 7_000, 1));
            Wire call = proxy.discovery.accept();
            assertThat(call.read().first()).isEqualTo("GET /v1/endpoints?from=41&hold_ms=0 HTTP/1.1");
            call.send(Peer.ok(Fixture.list(41, false)));
            // The watch goes on at once, and now it may wait.
            Wire next = proxy.discovery.accept();
            assertThat(next.read().first()).matches("GET /v1/endpoints\\?from=41&hold_ms=(4[1-9]\\d|[5-9]\\d{2}|[12]\\d{3}|3[0-3]\\d{2}) HTTP/1.1");
            assertThat(ready(proxy).status()).isEqualTo(200);
            next.send(Peer.ok(Fixture.list(43, false, Fixture.entry("s0", backend.address(), "gone"))));
            Wire last = proxy.discovery.accept();
            assertThat(last.read().first()).contains("from=43&");
            assertThat(ready(proxy).status()).isEqualTo(503);
        }
    }

    @Test
    void tellsChangesAndWholeLists() throws Exception {
        try (var proxy = new Fixture(watcher())) {
            proxy.next(Members.class);
            Wire call = proxy.discovery.accept();
            call.read();
            call.send(Peer.ok(Fixture.list(42, true, Fixture.entry("s7", "127.0.0.1:1", "ready"))));
            assertThat(proxy.next(Members.class).kind()).isEqualTo(ListKind.FULL);
            call = proxy.discovery.accept();
            call.read();
            call.send(Peer.ok(Fixture.list(43, false, Fixture.entry("s7", "127.0.0.1:1", "draining"))));
            Members change = proxy.next(Members.class);
            assertThat(change.kind()).isEqualTo(ListKind.DELTA);
            assertThat(change.backends()).extracting(Backend::state).containsExactly(State.DRAINING);
        }
    }

    /** One that doesn't wait and has no news is asked again within the 200 ms of a watch, but not in a tight loop. */
    @Test
    void doesNotSpinOnADiscoveryThatDoesNotWait() throws Exception {
        try (var proxy = new Fixture(watcher())) {
            Wire first = proxy.discovery.accept();
            first.read();
            first.send(Peer.ok(Fixture.list(41, false)));
            Wire second = proxy.discovery.accept();
            second.read();
            long answered = System.nanoTime();
            second.send(Peer.ok(Fixture.list(41, false)));
            proxy.discovery.accept().read();
            assertThat(System.nanoTime() - answered).isGreaterThan(40_000_000);
        }
    }

    /** A failed call is told to the module, which decides when to ask again: nothing asks on its own. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha",
        "", "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nnot JSON", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]", "rubbish\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"version\":\"x\",\"full\":true,\"servers\":[]}",
        "HTTP/1.1 200 OK\r\nContent-Length: 39\r\n\r\n{\"version\":-5,\"full\":true,\"servers\":[]}",
        "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"version\":42,\"full\":true,\"servers\":[]}}",
        "HTTP/1.1 200 OK\r\n\r\n{\"version\":42,\"full\":true,\"servers\":[",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n28\r\n{\"version\":42,\"full\":true,\"servers\":[]} \r\n"})
    void tellsOfAFailedCall(String answer) throws Exception {
        try (var proxy = new Fixture(watcher())) {
            proxy.next(Members.class);
            try (Wire call = proxy.discovery.accept()) {
                call.read();
                call.send(answer);
            }
            assertThat(proxy.next(Members.class)).isEqualTo(new Members(ListKind.FAILED, List.of()));
            assertThat(proxy.discovery.accept().read().first()).contains("from=41&hold_ms=0");
        }
    }

    /** A watch that has fallen silent: TCP tells nobody. It is opened anew beside, and ended once that one is answered. */
    @Test
    void asksAgainBesideAWatchThatSaysNothing() throws Exception {
        try (var proxy = new Fixture(watcher())) {
            proxy.next(Members.class);
            Wire first = proxy.discovery.accept();
            first.read();
            first.send(Peer.ok(Fixture.list(41, false)));
            assertThat(proxy.next(Members.class).kind()).isEqualTo(ListKind.DELTA);
            Wire silent = proxy.discovery.accept();
            silent.read();
            Wire again = proxy.discovery.accept();
            assertThat(again.read().first()).isEqualTo("GET /v1/endpoints?from=41&hold_ms=0 HTTP/1.1");
            again.send(Peer.ok(Fixture.list(42, false, Fixture.entry("s1", "127.0.0.1:1", "draining"))));
            assertThat(proxy.next(Members.class).backends()).extracting(Backend::id).containsExactly("s1");
            assertThat(silent.ended()).isTrue();
            assertThat(proxy.discovery.accept().read().first()).contains("from=42&");
        }
    }

    /** One of two calls that fails is no news as long as the other is open. */
    @Test
    void aCallThatFailsBesideAnotherEndsNothing() throws Exception {
        try (var proxy = new Fixture(watcher())) {
            proxy.next(Members.class);
            Wire first = proxy.discovery.accept();
            first.read();
            try (Wire second = proxy.discovery.accept()) {
                second.read();
            }
            first.send(Peer.ok(Fixture.list(42, true, Fixture.entry("s1", "127.0.0.1:1", "ready"))));
            assertThat(proxy.next(Members.class).kind()).isEqualTo(ListKind.FULL);
        }
    }

    /** One entry that makes no sense must not cost the others. */
    @Test
    void leavesMalformedEntriesOut() throws Exception {
        try (var proxy = new Fixture(watcher())) {
            proxy.next(Members.class);
            Wire call = proxy.discovery.accept();
            call.read();
            call.send(Peer.ok(Fixture.list(42, true, Fixture.entry("", "127.0.0.1:1", "ready"), "7", "null", "{}",
                    Fixture.entry("s1", "localhost:1", "ready"), Fixture.entry("s2", "127.0.0.1:99999", "ready"),
                    Fixture.entry("s3", "127.0.0.1:1", "asleep"), Fixture.entry("s4", "127.0.0.1:1", "ready"))));
            assertThat(proxy.next(Members.class).backends()).extracting(Backend::id).containsExactly("s4");
        }
    }

    /** A change that makes no sense may have been a drain. */
    @Test
    void asksForTheWholeListOnceAChangeWasLeftOut() throws Exception {
        try (var proxy = new Fixture(watcher())) {
            proxy.next(Members.class);
            Wire call = proxy.discovery.accept();
            call.read();
            call.send(Peer.ok(Fixture.list(42, false, Fixture.entry("s1", "127.0.0.1:1", "draining"), Fixture.entry("s2", "", "draining"))));
            assertThat(proxy.next(Members.class).backends()).extracting(Backend::id).containsExactly("s1");
            call = proxy.discovery.accept();
            assertThat(call.read().first()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            call.send(Peer.ok(Fixture.list(42, true, Fixture.entry("s2", "", "draining"))));
            assertThat(proxy.next(Members.class).kind()).isEqualTo(ListKind.FULL);
            // All that is known of it is taken: it is not asked for over and over.
            assertThat(proxy.discovery.accept().read().first()).contains("?from=42&");
        }
    }

    /** Bytes that trickle in are no answer: what counts is the time since the call. */
    @Test
    void asksAgainBesideAnAnswerThatNeverEnds() throws Exception {
        try (var proxy = new Fixture(watcher())) {
            proxy.next(Members.class);
            Wire first = proxy.discovery.accept();
            first.read();
            first.send("HTTP/1.1 200 OK\r\n\r\n{\"version\":42,\"full\":true,\"servers\":[");
            Wire again = proxy.discovery.accept();
            first.send(" ");
            again.read();
            again.send(Peer.ok(Fixture.list(42, false, Fixture.entry("s1", "127.0.0.1:1", "draining"))));
            assertThat(proxy.next(Members.class).kind()).isEqualTo(ListKind.DELTA);
            assertThat(first.ended()).isTrue();
        }
    }

    @Test
    void fetchesTheWholeListOnce() throws Exception {
        try (var proxy = new Fixture((Event event, java.util.function.Consumer<walkpost.Balancer.Action> actions) -> {
            if (event instanceof Members m && m.kind() == ListKind.CACHED) {
                actions.accept(new Fetch());
            }
        })) {
            proxy.next(Members.class);
            Wire call = proxy.discovery.accept();
            assertThat(call.read().first()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            call.send(Peer.ok(Fixture.list(42, true, Fixture.entry("s1", "127.0.0.1:1", "ready"))));
            assertThat(proxy.next(Members.class).kind()).isEqualTo(ListKind.FULL);
        }
    }

    /** The watch at the old place is over at once, and what is asked at the new one is not a change but all there is. */
    @Test
    void followsDiscoveryToItsNewAddress(@TempDir Path dir) throws Exception {
        try (var backend = new Peer(); var moved = new Peer(); var proxy = new Fixture(watcher(), backend)) {
            proxy.next(Members.class);
            Wire old = proxy.discovery.accept();
            old.read();
            ObjectNode config = Fixture.config().put("discovery", moved.address());
            proxy.reconfigure(Files.writeString(dir.resolve("config.json"), config.toString()));
            Wire call = moved.accept();
            assertThat(call.read().first()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            assertThat(old.ended()).isTrue();
            call.send(Peer.ok(Fixture.list(3, true, Fixture.entry("s1", "127.0.0.1:1", "ready"))));
            Members news = proxy.next(Members.class);
            assertThat(news.kind()).isEqualTo(ListKind.FULL);
            assertThat(news.backends()).extracting(Backend::id).containsExactly("s1");
            assertThat(moved.accept().read().first()).contains("from=3&");
        }
    }

    /** Watches, and asks for the whole list besides. */
    private static Fixture.Module watcherThatFetches() {
        return (event, actions) -> {
            if (event instanceof Members m && m.kind() == ListKind.CACHED) {
                actions.accept(new Watch(true));
                actions.accept(new Fetch());
            }
        };
    }

    /** Accepts calls until one begins so, and leaves the others open. */
    private static Wire call(Peer discovery, String begin) throws Exception {
        while (true) {
            Wire call = discovery.accept();
            if (call.read().first().startsWith(begin)) {
                return call;
            }
        }
    }

    /** The older list would bring the draining backend back. */
    @Test
    void aWholeListThatAChangeHasOvertakenIsNotTakenButAskedForAgain() throws Exception {
        try (var proxy = new Fixture(watcherThatFetches())) {
            proxy.next(Members.class);
            // The module's actions are carried out in turn.
            Wire watch = call(proxy.discovery, "GET /v1/endpoints?from=41&");
            Wire fetch = call(proxy.discovery, "GET /v1/endpoints HTTP");
            watch.send(Peer.ok(Fixture.list(43, false, Fixture.entry("s1", "127.0.0.1:1", "draining"))));
            assertThat(proxy.next(Members.class).kind()).isEqualTo(ListKind.DELTA);
            fetch.send(Peer.ok(Fixture.list(42, true, Fixture.entry("s1", "127.0.0.1:1", "ready"))));
            call(proxy.discovery, "GET /v1/endpoints HTTP")
                    .send(Peer.ok(Fixture.list(43, true, Fixture.entry("s1", "127.0.0.1:1", "draining"))));
            Members next = proxy.next(Members.class);
            assertThat(next.kind()).isEqualTo(ListKind.FULL);
            assertThat(next.backends()).extracting(Backend::state).containsExactly(State.DRAINING);
        }
    }

    @Test
    void aChangeThatAWholeListHasOvertakenIsNotTaken() throws Exception {
        try (var proxy = new Fixture(watcherThatFetches())) {
            proxy.next(Members.class);
            Wire watch = call(proxy.discovery, "GET /v1/endpoints?from=41&");
            call(proxy.discovery, "GET /v1/endpoints HTTP")
                    .send(Peer.ok(Fixture.list(44, true, Fixture.entry("s1", "127.0.0.1:1", "draining"))));
            assertThat(proxy.next(Members.class).kind()).isEqualTo(ListKind.FULL);
            watch.send(Peer.ok(Fixture.list(43, false, Fixture.entry("s1", "127.0.0.1:1", "ready"))));
            assertThat(proxy.discovery.accept().read().first()).contains("?from=44&");
            assertThat(proxy.events).isEmpty();
        }
    }

    @Test
    void whatTheOldAddressHasStillToSayIsNotHeard(@TempDir Path dir) throws Exception {
        try (var moved = new Peer(); var proxy = new Fixture(watcherThatFetches())) {
            proxy.next(Members.class);
            call(proxy.discovery, "GET /v1/endpoints?from=41&");
            Wire old = call(proxy.discovery, "GET /v1/endpoints HTTP");
            proxy.reconfigure(Files.writeString(dir.resolve("config.json"),
                    Fixture.config().put("discovery", moved.address()).toString()));
            Wire first = moved.accept();
            old.send(Peer.ok(Fixture.list(99, true, Fixture.entry("s9", "127.0.0.1:1", "ready"))));
            first.send(Peer.ok(Fixture.list(3, true, Fixture.entry("s1", "127.0.0.1:1", "ready"))));
            for (int answers = 0; answers < 2; answers++) {
                assertThat(proxy.next(Members.class).backends()).extracting(Backend::id).containsExactly("s1");
                // One of the two was the watch, which goes on; the other is the whole list that the module had asked for.
                if (answers == 0) {
                    call(moved, "GET /v1/endpoints HTTP").send(Peer.ok(Fixture.list(3, true, Fixture.entry("s1", "127.0.0.1:1", "ready"))));
                }
            }
        }
    }

    @Test
    void changesOfADiscoveryThatHasBegunAnewAreNoUseWithoutItsWholeList() throws Exception {
        try (var proxy = new Fixture(watcher())) {
            proxy.next(Members.class);
            Wire call = proxy.discovery.accept();
            call.read();
            call.send(Peer.ok(Fixture.list(3, false, Fixture.entry("s1", "127.0.0.1:1", "draining"))));
            call = proxy.discovery.accept();
            assertThat(call.read().first()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            call.send(Peer.ok(Fixture.list(4, true, Fixture.entry("s2", "127.0.0.1:1", "ready"))));
            assertThat(proxy.next(Members.class).backends()).extracting(Backend::id).containsExactly("s2");
            assertThat(proxy.discovery.accept().read().first()).contains("?from=4&");
        }
    }

    @Test
    void aDiscoveryThatHasBegunAnewIsFollowed() throws Exception {
        try (var proxy = new Fixture(watcher())) {
            proxy.next(Members.class);
            Wire call = proxy.discovery.accept();
            call.read();
            call.send(Peer.ok(Fixture.list(3, true, Fixture.entry("s2", "127.0.0.1:1", "ready"))));
            assertThat(proxy.next(Members.class).backends()).extracting(Backend::id).containsExactly("s2");
            assertThat(proxy.discovery.accept().read().first()).contains("?from=3&");
        }
    }

    /** One that grows without end is not kept in memory, and one call has failed, no more. */
    @Test
    void anAnswerThatGrowsWithoutEndHasFailed() throws Exception {
        try (var proxy = new Fixture(watcher())) {
            proxy.next(Members.class);
            Wire call = proxy.discovery.accept();
            call.read();
            try {
                call.send("HTTP/1.1 200 OK\r\n\r\n{\"version\":42,\"full\":true,\"servers\":[");
                for (int megabytes = 0; megabytes < 64; megabytes++) {
                    call.send(" ".repeat(1 << 20));
                }
            } catch (java.io.IOException e) {
                // The proxy has hung up: just what is to be.
            }
            assertThat(proxy.next(Members.class).kind()).isEqualTo(ListKind.FAILED);
            assertThat(call.ended()).isTrue();
            assertThat(proxy.discovery.accept().read().first()).contains("from=41&hold_ms=0");
        }
    }

    /** The module is to ask again later; where lists are pushed meanwhile it no longer does. */
    @Test
    void listsThatArePushedFromNowOnAreAskedForWhateverTheModuleMeantToDo(@TempDir Path dir) throws Exception {
        try (var proxy = new Fixture((event, actions) -> {
            if (event instanceof Members m && m.kind() == ListKind.CACHED) {
                actions.accept(new Watch(true));
            }
        })) {
            Wire call = proxy.discovery.accept();
            call.read();
            call.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            proxy.next(Members.class);
            assertThat(proxy.next(Members.class).kind()).isEqualTo(ListKind.FAILED);
            ObjectNode config = Fixture.config().put("discovery", proxy.discovery.address());
            ((ObjectNode) config.path("settings")).put("registry_mode", "pushed");
            proxy.reconfigure(Files.writeString(dir.resolve("config.json"), config.toString()));
            assertThat(proxy.discovery.accept().read().first()).contains("from=41&hold_ms=0");
        }
    }

    @Test
    void aConfigurationThatIsNoGoodChangesNothing(@TempDir Path dir) throws Exception {
        try (var proxy = new Fixture(watcher())) {
            proxy.next(Members.class);
            Wire call = proxy.discovery.accept();
            call.read();
            proxy.reconfigure(dir.resolve("none"));
            proxy.reconfigure(Files.writeString(dir.resolve("half"), "{\"name\":"));
            call.send(Peer.ok(Fixture.list(42, true)));
            assertThat(proxy.next(Members.class).kind()).isEqualTo(ListKind.FULL);
        }
    }

    /** SIGHUP, which ends a JVM that does not listen for it, only has the configuration read again. */
    @Test
    void readsTheConfigurationAgainOnSighup(@TempDir Path dir) throws Exception {
        try (var first = new Peer(); var second = new Peer();
                var program = new Program(dir, Fixture.config().put("discovery", first.address()))) {
            Wire call = first.accept();
            call.read();
            program.line("listening");
            program.configure(Fixture.config().put("discovery", second.address()));
            program.signal("HUP");
            assertThat(second.accept().read().first()).isEqualTo("GET /v1/endpoints HTTP/1.1");
            assertThat(program.ended()).isFalse();
        }
    }
}

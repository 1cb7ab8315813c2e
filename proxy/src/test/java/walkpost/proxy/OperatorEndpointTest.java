package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import walkpost.Balancer.Arrival;
import walkpost.Balancer.AttemptEnded;
import walkpost.Balancer.Excluded;
import walkpost.Balancer.Included;
import walkpost.Balancer.Outcome;
import walkpost.Balancer.Send;
import walkpost.Balancer.Watch;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What the operators' staff may say to a proxy, and what comes of it. */
class OperatorEndpointTest {
    @TempDir
    private Path temp;

    private static void await(Wire door, String word) throws Exception {
        assertThat(door.rest()).startsWith(word).endsWith("\n");
    }

    private void until(Fixture proxy, String call, String word) throws Exception {
        while (!proxy.call(call).startsWith(word)) {
            Thread.onSpinWait();
        }
    }

    @Test
    void tellsWhetherItIsReadyAsItTellsClients() throws Exception {
        try (var server = new Peer(); var proxy = Fixture.operated((event, actions) -> {
            if (event instanceof Arrival) {
                actions.accept(new Watch(true));
            }
        }, temp, server); var client = proxy.client()) {
            until(proxy, "readyz\n", "SUCCESS");
            assertThat(client.send("GET /ready HTTP/1.1\r\n\r\n").read().status()).isEqualTo(200);
            assertThat(proxy.call("exclude s0\r\n")).startsWith("SUCCESS");
            assertThat(proxy.call("readyz\n")).startsWith("FAILURE");
            assertThat(client.send("GET /ready HTTP/1.1\r\n\r\n").read().status()).isEqualTo(503);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"\n", "reboot\n", "READYZ\n", "readyz now\n", "exclude\n", "exclude s0 s0\n", "exclude nobody\n",
        "include nobody\n", "include\n", "exclude s0\0\n", "exclude \u00ff\u00fe\n", "telemetry\n"})
    void saysNoToWhatItCantDoAndChangesNothing(String call) throws Exception {
        try (var server = new Peer(); var proxy = Fixture.operated((event, actions) -> { }, temp, server)) {
            assertThat(proxy.call(call)).matches("FAILURE [^\n]+\n");
            assertThat(proxy.call("exclude " + "x".repeat(Exclusions.LONGEST_ID + 1) + "\n")).startsWith("FAILURE");
            assertThat(proxy.call("exclude " + "x".repeat(5_000) + "\n")).startsWith("FAILURE");
            assertThat(proxy.events).noneMatch(Excluded.class::isInstance);
            assertThat(temp).isEmptyDirectory();
        }
    }

    /** Half a call names another tile server than the whole one would, and must not be obeyed. */
    @Test
    void halfACallIsNotCarriedOut() throws Exception {
        try (var server = new Peer(); var proxy = Fixture.operated((event, actions) -> { }, temp, server);
                var ended = proxy.door(); var silent = proxy.door(); var half = proxy.door()) {
            half.send("exclude s0");
            ended.send("exclude s0").endSending();
            await(ended, "FAILURE");
            await(silent, "FAILURE");
            await(half, "FAILURE");
            assertThat(proxy.events).noneMatch(Excluded.class::isInstance);
        }
    }

    /** However many callers say nothing, the next one is heard. */
    @Test
    void silentCallersHoldUpNobody() throws Exception {
        var silent = new ArrayList<Wire>();
        try (var server = new Peer(); var proxy = Fixture.operated((event, actions) -> { }, temp, server)) {
            for (int i = 0; i < 4 * OperatorEndpoint.CALLERS; i++) {
                silent.add(proxy.door());
            }
            assertThat(proxy.call("exclude s0\n")).startsWith("SUCCESS");
            assertThat(silent.get(0).ended()).isTrue();
        } finally {
            for (Wire wire : silent) {
                wire.close();
            }
        }
    }

    /** One call back undoes any number of calls out, and the module is told of each change once. */
    @Test
    void tellsTheModuleOnceAndKeepsItOnFile() throws Exception {
        try (var server = new Peer(); var proxy = Fixture.operated((event, actions) -> { }, temp, server)) {
            assertThat(proxy.call("exclude s0\n")).startsWith("SUCCESS");
            assertThat(proxy.call("exclude s0\n")).startsWith("SUCCESS");
            try (var files = Files.list(temp.resolve("excluded"))) {
                assertThat(files).hasSize(1);
            }
            assertThat(proxy.call("include s0\n")).startsWith("SUCCESS");
            assertThat(temp.resolve("excluded")).isEmptyDirectory();
            assertThat(proxy.events.stream().filter(e -> e instanceof Excluded || e instanceof Included))
                    .containsExactly(new Excluded("s0"), new Included("s0"));
        }
    }

    /** Two processes serve as one at an upgrade: whichever is called, both obey; and one that starts obeys at once. */
    @Test
    void aCallToOneProcessBindsTheOther() throws Exception {
        try (var server = new Peer(); var old = Fixture.operated((event, actions) -> { }, temp, server)) {
            assertThat(old.call("exclude s0\n")).startsWith("SUCCESS");
            Files.createFile(temp.resolve("excluded").resolve("left by someone~"));
            try (var proxy = Fixture.operated((event, actions) -> { }, temp, server)) {
                assertThat(proxy.next(Excluded.class)).isEqualTo(new Excluded("s0"));
                assertThat(proxy.call("include s0\n")).startsWith("SUCCESS");
                assertThat(old.next(Included.class)).isEqualTo(new Included("s0"));
                assertThat(old.call("exclude s0\n")).startsWith("SUCCESS");
                assertThat(proxy.next(Excluded.class)).isEqualTo(new Excluded("s0"));
            }
        }
    }

    @Test
    void whatCannotBeKeptIsNotPromised() throws Exception {
        Files.createFile(temp.resolve("excluded"));
        try (var server = new Peer(); var proxy = Fixture.operated((event, actions) -> { }, temp, server)) {
            assertThat(proxy.call("exclude s0\n")).startsWith("FAILURE");
            assertThat(proxy.events).noneMatch(Excluded.class::isInstance);
        }
    }

    /** As at a drain: what has gone out may end, what has not is taken back, and nothing new goes, whatever is asked. */
    @Test
    void nothingNewGoesToOneThatIsTakenOut() throws Exception {
        try (var server = new Peer(); var proxy = Fixture.operated((event, actions) -> {
            if (event instanceof Arrival a) {
                actions.accept(new Send(a.id(), "s0", 0));
            }
        }, temp, server); var one = proxy.client(); var two = proxy.client()) {
            one.send(Fixture.get("r1"));
            Wire attempt = server.accept();
            attempt.read();
            assertThat(proxy.call("exclude s0\n")).startsWith("SUCCESS");
            two.send(Fixture.get("r2"));
            AttemptEnded refused = proxy.next(AttemptEnded.class);
            assertThat(refused.id()).isEqualTo("r2");
            assertThat(refused.outcome()).isEqualTo(Outcome.NOT_SENT);
            attempt.send(Peer.ok("done"));
            assertThat(one.read().body()).isEqualTo("done");
            assertThat(attempt.ended()).isTrue();
        }
    }

    /** With the module in service, and beside another that goes on: out, then back. */
    @Test
    void servesOnWithoutTheOneThatIsOut() throws Exception {
        try (var out = new Peer(); var in = new Peer(); var proxy = Fixture.operated(null, temp, out, in);
                var client = proxy.client()) {
            out.always(Peer.ok("out"));
            in.always(Peer.ok("in"));
            assertThat(proxy.call("exclude s0\n")).startsWith("SUCCESS");
            for (int i = 0; i < 20; i++) {
                assertThat(client.send(Fixture.get("a" + i)).read().body()).isEqualTo("in");
            }
            assertThat(proxy.call("include s0\n")).startsWith("SUCCESS");
            var bodies = new ArrayList<String>();
            for (int i = 0; i < 200 && !bodies.contains("out"); i++) {
                bodies.add(client.send(Fixture.get("b" + i)).read().body());
            }
            assertThat(bodies).contains("out");
        }
    }
}

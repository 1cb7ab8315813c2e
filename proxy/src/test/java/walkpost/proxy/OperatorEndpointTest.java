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

/** Tests the calls of the operator endpoint and their effect on the proxy. */
class OperatorEndpointTest {
    @TempDir
    private Path tempDirectory;

    private static void assertAnswer(RawConnection caller, String firstWord) throws Exception {
        assertThat(caller.readToEnd()).startsWith(firstWord).endsWith("\n");
    }

    private void callUntilAnswered(ProxyFixture proxy, String call, String firstWord) throws Exception {
        while (!proxy.callOperator(call).startsWith(firstWord)) {
            Thread.onSpinWait();
        }
    }

    @Test
    void reportsTheSameReadinessAsToClients() throws Exception {
        try (var server = new FakeServer(); var proxy = ProxyFixture.withOperatorEndpoint((event, actions) -> {
            if (event instanceof Arrival) {
                actions.accept(new Watch(true));
            }
        }, tempDirectory, server); var client = proxy.client()) {
            callUntilAnswered(proxy, "readyz\n", "SUCCESS");
            assertThat(client.send("GET /ready HTTP/1.1\r\n\r\n").read().status()).isEqualTo(200);
            assertThat(proxy.callOperator("exclude s0\r\n")).startsWith("SUCCESS");
            assertThat(proxy.callOperator("readyz\n")).startsWith("FAILURE");
            assertThat(client.send("GET /ready HTTP/1.1\r\n\r\n").read().status()).isEqualTo(503);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"\n", "reboot\n", "READYZ\n", "readyz now\n", "exclude\n", "exclude s0 s0\n", "exclude nobody\n",
        "include nobody\n", "include\n", "exclude s0\0\n", "exclude \u00ff\u00fe\n", "telemetry\n"})
    void rejectsInvalidCallsAndChangesNothing(String call) throws Exception {
        try (var server = new FakeServer(); var proxy = ProxyFixture.withOperatorEndpoint((event, actions) -> { }, tempDirectory, server)) {
            assertThat(proxy.callOperator(call)).matches("FAILURE [^\n]+\n");
            assertThat(proxy.callOperator("exclude " + "x".repeat(ExclusionStore.MAX_ID_BYTES + 1) + "\n")).startsWith("FAILURE");
            assertThat(proxy.callOperator("exclude " + "x".repeat(5_000) + "\n")).startsWith("FAILURE");
            assertThat(proxy.events).noneMatch(Excluded.class::isInstance);
            assertThat(tempDirectory).isEmptyDirectory();
        }
    }

    /** A line that is cut off could name another server than the complete one, so it must not be carried out. */
    @Test
    void anIncompleteLineIsNotCarriedOut() throws Exception {
        try (var server = new FakeServer(); var proxy = ProxyFixture.withOperatorEndpoint((event, actions) -> { }, tempDirectory, server);
                var halfClosed = proxy.operatorConnection(); var silent = proxy.operatorConnection();
                var incomplete = proxy.operatorConnection()) {
            incomplete.send("exclude s0");
            halfClosed.send("exclude s0").shutdownOutput();
            assertAnswer(halfClosed, "FAILURE");
            assertAnswer(silent, "FAILURE");
            assertAnswer(incomplete, "FAILURE");
            assertThat(proxy.events).noneMatch(Excluded.class::isInstance);
        }
    }

    /** Silent callers must not use up the endpoint's connections. */
    @Test
    void silentCallersDoNotBlockTheNextOne() throws Exception {
        var silent = new ArrayList<RawConnection>();
        try (var server = new FakeServer(); var proxy = ProxyFixture.withOperatorEndpoint((event, actions) -> { }, tempDirectory, server)) {
            for (int i = 0; i < 4 * OperatorEndpoint.MAX_CALLERS; i++) {
                silent.add(proxy.operatorConnection());
            }
            assertThat(proxy.callOperator("exclude s0\n")).startsWith("SUCCESS");
            assertThat(silent.get(0).awaitClose()).isTrue();
        } finally {
            for (RawConnection connection : silent) {
                connection.close();
            }
        }
    }

    /** One include undoes any number of excludes, and the balancer is notified of each change once. */
    @Test
    void notifiesTheBalancerOnceAndStoresTheExclusion() throws Exception {
        try (var server = new FakeServer(); var proxy = ProxyFixture.withOperatorEndpoint((event, actions) -> { }, tempDirectory, server)) {
            assertThat(proxy.callOperator("exclude s0\n")).startsWith("SUCCESS");
            assertThat(proxy.callOperator("exclude s0\n")).startsWith("SUCCESS");
            try (var files = Files.list(tempDirectory.resolve("excluded"))) {
                assertThat(files).hasSize(1);
            }
            assertThat(proxy.callOperator("include s0\n")).startsWith("SUCCESS");
            assertThat(tempDirectory.resolve("excluded")).isEmptyDirectory();
            assertThat(proxy.events.stream().filter(e -> e instanceof Excluded || e instanceof Included))
                    .containsExactly(new Excluded("s0"), new Included("s0"));
        }
    }

    /**
     * During an upgrade two processes serve as one proxy: a call to either applies to both, and a process that starts applies the
     * exclusions that exist.
     */
    @Test
    void aCallToOneProcessAppliesToTheOther() throws Exception {
        try (var server = new FakeServer();
                var oldProcess = ProxyFixture.withOperatorEndpoint((event, actions) -> { }, tempDirectory, server)) {
            assertThat(oldProcess.callOperator("exclude s0\n")).startsWith("SUCCESS");
            Files.createFile(tempDirectory.resolve("excluded").resolve("not an exclusion~"));
            try (var newProcess = ProxyFixture.withOperatorEndpoint((event, actions) -> { }, tempDirectory, server)) {
                assertThat(newProcess.nextEvent(Excluded.class)).isEqualTo(new Excluded("s0"));
                assertThat(newProcess.callOperator("include s0\n")).startsWith("SUCCESS");
                assertThat(oldProcess.nextEvent(Included.class)).isEqualTo(new Included("s0"));
                assertThat(oldProcess.callOperator("exclude s0\n")).startsWith("SUCCESS");
                assertThat(newProcess.nextEvent(Excluded.class)).isEqualTo(new Excluded("s0"));
            }
        }
    }

    @Test
    void anExclusionThatCannotBeStoredIsRejected() throws Exception {
        Files.createFile(tempDirectory.resolve("excluded"));
        try (var server = new FakeServer(); var proxy = ProxyFixture.withOperatorEndpoint((event, actions) -> { }, tempDirectory, server)) {
            assertThat(proxy.callOperator("exclude s0\n")).startsWith("FAILURE");
            assertThat(proxy.events).noneMatch(Excluded.class::isInstance);
        }
    }

    /** As for a draining server: requests already sent may finish, unsent ones are stopped, and the balancer can send no new ones. */
    @Test
    void noNewRequestIsSentToAnExcludedServer() throws Exception {
        try (var server = new FakeServer(); var proxy = ProxyFixture.withOperatorEndpoint((event, actions) -> {
            if (event instanceof Arrival a) {
                actions.accept(new Send(a.id(), "s0", 0));
            }
        }, tempDirectory, server); var one = proxy.client(); var two = proxy.client()) {
            one.send(ProxyFixture.get("r1"));
            RawConnection attempt = server.accept();
            attempt.read();
            assertThat(proxy.callOperator("exclude s0\n")).startsWith("SUCCESS");
            two.send(ProxyFixture.get("r2"));
            AttemptEnded refused = proxy.nextEvent(AttemptEnded.class);
            assertThat(refused.id()).isEqualTo("r2");
            assertThat(refused.outcome()).isEqualTo(Outcome.NOT_SENT);
            attempt.send(FakeServer.okResponse("done"));
            assertThat(one.read().body()).isEqualTo("done");
            assertThat(attempt.awaitClose()).isTrue();
        }
    }

    /** Uses the real balancer with two servers, one of which is excluded and then included again. */
    @Test
    void theOtherServerServesDuringAnExclusion() throws Exception {
        try (var excluded = new FakeServer(); var other = new FakeServer();
                var proxy = ProxyFixture.withOperatorEndpoint(null, tempDirectory, excluded, other);
                var client = proxy.client()) {
            excluded.answerAll(FakeServer.okResponse("excluded"));
            other.answerAll(FakeServer.okResponse("other"));
            assertThat(proxy.callOperator("exclude s0\n")).startsWith("SUCCESS");
            for (int i = 0; i < 20; i++) {
                assertThat(client.send(ProxyFixture.get("a" + i)).read().body()).isEqualTo("other");
            }
            assertThat(proxy.callOperator("include s0\n")).startsWith("SUCCESS");
            var bodies = new ArrayList<String>();
            for (int i = 0; i < 200 && !bodies.contains("excluded"); i++) {
                bodies.add(client.send(ProxyFixture.get("b" + i)).read().body());
            }
            assertThat(bodies).contains("excluded");
        }
    }
}

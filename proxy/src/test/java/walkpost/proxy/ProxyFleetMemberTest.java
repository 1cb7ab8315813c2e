package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import walkpost.Balancer.Arrival;
import walkpost.Balancer.AttemptEnded;
import walkpost.Balancer.Event;
import walkpost.Balancer.Excluded;
import walkpost.Balancer.Fetch;
import walkpost.Balancer.Included;
import walkpost.Balancer.ListUpdate;
import walkpost.Balancer.Outcome;
import walkpost.Balancer.Send;
import walkpost.fleet.FleetException;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.Order;
import walkpost.fleet.member.Standing;
import walkpost.fleet.shell.Coverage;
import walkpost.fleet.shell.Fleet;
import walkpost.fleet.shell.FleetHandle;

/** Checks a proxy in a fleet that the test plays: the operators' calls, the orders it applies and the entries it publishes. */
class ProxyFleetMemberTest {
    private static final String EXCLUDED_PAYLOAD = "{\"out\":true}";
    private static final long ONE_HOUR_US = 3_600_000_000L;

    @TempDir
    private Path temp;
    private final FakeFleet fleet = new FakeFleet(ONE_HOUR_US);

    private ProxyFixture proxy(FakeServer... backends) throws Exception {
        return ProxyFixture.inFleet(() -> fleet, null, (event, actions) -> { }, temp, backends);
    }

    private static boolean isExclusionChange(Event event) {
        return event instanceof Excluded || event instanceof Included;
    }

    /** The caller has half-closed its connection by then, as some callers do, and the event loop must serve others meanwhile. */
    @Test
    void answersAnOrderOnceItIsAcknowledgedWithoutBlockingOtherCalls() throws Exception {
        try (var server = new FakeServer(); var proxy = proxy(server); var out = proxy.operatorConnection();
                var back = proxy.operatorConnection()) {
            out.send("exclude s0 fleet o1 -\n").shutdownOutput();
            FakeFleet.IssuedOrder first = FakeServer.takeNext(fleet.issuedOrders);
            assertThat(first).extracting("key", "id", "replaces", "payload")
                    .containsExactly(new Order.Key("exclusion", "s0"), "o1", "", EXCLUDED_PAYLOAD);
            back.send("include s0 fleet o2 o1\n");
            FakeFleet.IssuedOrder second = FakeServer.takeNext(fleet.issuedOrders);
            assertThat(second).extracting("id", "replaces", "payload").containsExactly("o2", "o1", null);
            assertThat(proxy.callOperator("readyz\n")).isNotEmpty();
            first.acknowledge(1);
            assertThat(out.readToEnd()).isEqualTo("SUCCESS s0 is taken out on the fleet, order=o1 version=1\n");
            second.acknowledge(2);
            assertThat(back.readToEnd()).isEqualTo("SUCCESS s0 is given back on the fleet, order=o2 version=2\n");
        }
    }

    @Test
    void answersAFailedOrderWithTheActionToTake() throws Exception {
        try (var proxy = proxy(); var operatorConnection = proxy.operatorConnection(); var late = proxy.operatorConnection()) {
            late.send("exclude s0 fleet o9\n");
            assertThat(FakeServer.takeNext(fleet.issuedOrders).replaces()).isNull();
            operatorConnection.send("exclude s0 fleet o1 o0\n");
            var cause = new FleetException.Overtaken("o1", "o5");
            FakeServer.takeNext(fleet.issuedOrders).outcome().completeExceptionally(cause);
            assertThat(operatorConnection.readToEnd()).isEqualTo("FAILURE " + cause.getMessage() + "\n");
            // An order whose outcome is unknown is answered after a time-out.
            assertThat(late.readToEnd()).startsWith("FAILURE o9 ").contains("send the same order again");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"fleet now\n", "orders all\n", "held s0\n", "held s0 -\n", "held s0 o1 o2\n", "facts\n", "facts a b\n",
        "exclude s0 fleet\n", "exclude s0 fleet -\n",
        "exclude s0 float o1\n", "exclude s0 fleet o1 o0 more\n",
        "exclude s0 fleet 1234567890123456789012345678901234567890123456789012345678901234X\n"})
    void rejectsMalformedCallsWithoutAnOrder(String call) throws Exception {
        try (var proxy = proxy()) {
            assertThat(proxy.callOperator(call)).matches("FAILURE [^\n]+\n");
            assertThat(proxy.callOperator("exclude " + "x".repeat(ExclusionStore.MAX_ID_BYTES + 1) + " fleet o1\n")).startsWith("FAILURE");
            assertThat(proxy.callOperator("exclude " + "x".repeat(ExclusionStore.MAX_ID_BYTES) + " fleet o1" + " ".repeat(200) + "\n"))
                    .isEqualTo("FAILURE the line is too long\n");
            assertThat(fleet.issuedOrders).isEmpty();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"fleet\n", "orders\n", "facts proxy\n", "held s0 o1\n", "exclude s0 fleet o1\n", "include s0 fleet o1 -\n"})
    void rejectsFleetCallsWithoutAFleet(String call) throws Exception {
        try (var server = new FakeServer(); var proxy = ProxyFixture.withOperatorEndpoint((event, actions) -> { }, temp, server)) {
            assertThat(proxy.callOperator(call)).startsWith("FAILURE ").contains("WALKPOST_FLEET");
            assertThat(proxy.events).noneMatch(Excluded.class::isInstance);
        }
    }

    private static JsonNode json(String answer) throws Exception {
        assertThat(answer).startsWith("SUCCESS ").endsWith("\n");
        return Config.JSON.readTree(answer.substring("SUCCESS ".length()));
    }

    @Test
    void reportsMembersOrdersAndEntries() throws Exception {
        fleet.setMember("n1", Standing.SUSPECT);
        fleet.setMember("n0", Standing.ALIVE);
        fleet.entries.add(new Entry(new Entry.Key("verdict", "s0", "n1"), 1, 4, "{\"late\":2}", ONE_HOUR_US + 1_000));
        fleet.entries.add(new Entry(new Entry.Key("verdict", "s1", "n1"), 1, 5, "no JSON", 2_500));
        try (var proxy = proxy()) {
            fleet.setCaughtUp(true);
            fleet.putInForce("s0", EXCLUDED_PAYLOAD, "o7");
            assertThat(json(proxy.callOperator("fleet\n"))).isEqualTo(Config.JSON.readTree("""
                    {"name":"n0","level":true,"members":[
                     {"name":"n0","standing":"ALIVE","incarnation":1,"address":"127.0.0.1:7401"},
                     {"name":"n1","standing":"SUSPECT","incarnation":1,"address":"127.0.0.1:7401"}],"counters":{"sent":7}}"""));
            assertThat(json(proxy.callOperator("orders\n"))).isEqualTo(Config.JSON.readTree("""
                    {"level":true,"orders":[{"topic":"exclusion","subject":"s0","payload":{"out":true},"id":"o1","version":3,
                     "rivals":["o7"]}]}"""));
            assertThat(json(proxy.callOperator("facts verdict\n"))).isEqualTo(Config.JSON.readTree("""
                    {"bound_ms":3600000,"facts":[
                     {"subject":"s0","writer":"n1","payload":{"late":2},"age_ms":3600001,"stale":true},
                     {"subject":"s1","writer":"n1","payload":"no JSON","age_ms":2,"stale":false}]}"""));
        }
    }

    @Test
    void reportsTheVotersAndFeedsOfAnObserver() throws Exception {
        fleet.voters = List.of("v1", "v2", "v3");
        fleet.feeds = List.of("v2", "v3");
        fleet.lives = Map.of("north", 40, "south", 38);
        fleet.controlAgeUs = 1_500_999;
        fleet.silent = List.of("v1");
        fleet.setMember("n0", Standing.ALIVE);
        try (var proxy = proxy()) {
            fleet.setCaughtUp(true);
            assertThat(json(proxy.callOperator("fleet\n"))).isEqualTo(Config.JSON.readTree("""
                    {"name":"n0","level":true,"members":[{"name":"n0","standing":"ALIVE","incarnation":1,"address":"127.0.0.1:7401"}],
                     "voters":["v1","v2","v3"],"feeds":["v2","v3"],"lives":{"north":40,"south":38},"control_age_ms":1500,
                     "counters":{"sent":7}}"""));
            fleet.controlAgeUs = FleetHandle.NEVER_US;
            assertThat(json(proxy.callOperator("fleet\n")).get("control_age_ms").isNull()).isTrue();
            assertThat(json(proxy.callOperator("facts verdict\n"))).isEqualTo(Config.JSON.readTree("""
                    {"bound_ms":3600000,"silent":["v1"],"facts":[]}"""));
        }
    }

    @Test
    void reportsTheCoverageOfAnOrder() throws Exception {
        try (var proxy = proxy(); var operatorConnection = proxy.operatorConnection()) {
            operatorConnection.send("held s0 o1\n");
            // Other calls are answered while the voters are queried.
            assertThat(proxy.callOperator("readyz\n")).isNotEmpty();
            fleet.coverage.complete(new Coverage(8, 9, List.of("n4"), List.of("v3")));
            assertThat(json(operatorConnection.readToEnd())).isEqualTo(Config.JSON.readTree("""
                    {"held":8,"of":9,"lacking":["n4"],"silent":["v3"]}"""));
            assertThat(fleet.coverageQueries).containsExactly("exclusion s0 o1");
        }
        var withoutObservers = new FakeFleet(ONE_HOUR_US);
        var cause = new FleetException.BadCall("all members of this fleet vote");
        withoutObservers.coverage.completeExceptionally(cause);
        try (var proxy = ProxyFixture.inFleet(() -> withoutObservers, null, (event, actions) -> { }, temp)) {
            assertThat(proxy.callOperator("held s0 o1\n")).isEqualTo("FAILURE " + cause.getMessage() + "\n");
        }
    }

    /** A server is in use only if neither the operators' endpoint nor the fleet excludes it; the balancer is notified only of changes. */
    @Test
    void excludesAServerIfTheEndpointOrTheFleetExcludesIt() throws Exception {
        try (var server = new FakeServer(); var proxy = proxy(server)) {
            assertThat(proxy.callOperator("exclude s0\n")).startsWith("SUCCESS");
            fleet.putInForce("s0", EXCLUDED_PAYLOAD);
            assertThat(proxy.callOperator("include s0\n")).isEqualTo("SUCCESS s0 is given back here, but the fleet has it out\n");
            assertThat(proxy.callOperator("exclude s0\n")).startsWith("SUCCESS");
            fleet.putInForce("s0", null);
            fleet.putInForce("s0", EXCLUDED_PAYLOAD);
            fleet.putInForce("s0", "{\"of a later version\":1}");
            assertThat(proxy.callOperator("include s0\n")).contains("the fleet has it out");
            assertThat(proxy.events.stream().filter(ProxyFleetMemberTest::isExclusionChange)).containsExactly(new Excluded("s0"));
            fleet.putInForce("s0", null);
            assertThat(proxy.nextEvent(Included.class)).isEqualTo(new Included("s0"));
            assertThat(proxy.callOperator("exclude s0\n")).startsWith("SUCCESS");
            assertThat(proxy.callOperator("include s0\n")).isEqualTo("SUCCESS s0 is in use again\n");
        }
    }

    /**
     * A proxy that has lost its connection to the fleet, or has just started, keeps its last exclusions. Once it has caught up, only the
     * orders in force count.
     */
    @Test
    void keepsExclusionsUntilItHasCaughtUpAgain() throws Exception {
        try (var server = new FakeServer()) {
            try (var proxy = proxy(server)) {
                fleet.setCaughtUp(true);
                fleet.putInForce("s0", EXCLUDED_PAYLOAD);
                fleet.putInForce("s1", EXCLUDED_PAYLOAD);
                assertThat(proxy.nextEvent(Excluded.class)).isEqualTo(new Excluded("s0"));
                fleet.setCaughtUp(false);
                assertThat(proxy.callOperator("include s0\n")).contains("the fleet has it out");
            }
            assertThat(fleet.closed).isCompleted();
            var nextFleet = new FakeFleet(ONE_HOUR_US);
            try (var proxy = ProxyFixture.inFleet(() -> nextFleet, null, (event, actions) -> { }, temp, server)) {
                assertThat(proxy.nextEvent(Excluded.class).backend()).isIn("s0", "s1");
                assertThat(proxy.nextEvent(Excluded.class).backend()).isIn("s0", "s1");
                nextFleet.setCaughtUp(false);
                assertThat(proxy.callOperator("include s0\n")).contains("the fleet has it out");
                nextFleet.putInForce("s1", EXCLUDED_PAYLOAD);
                nextFleet.setCaughtUp(true);
                assertThat(proxy.nextEvent(Included.class)).isEqualTo(new Included("s0"));
                assertThat(proxy.callOperator("include s1\n")).contains("the fleet has it out");
            }
        }
    }

    @Test
    void excludesAServerThatIsListedAfterTheOrder() throws Exception {
        var fetched = new AtomicBoolean();
        try (var late = new FakeServer(); var proxy = ProxyFixture.inFleet(() -> fleet, null, (event, actions) -> {
            if (event instanceof Excluded && !fetched.getAndSet(true)) {
                actions.accept(new Fetch());
            } else if (event instanceof Arrival a) {
                actions.accept(new Send(a.id(), "s9", 0));
            }
        }, temp); var client = proxy.client()) {
            proxy.discovery.answerAll(FakeServer.okResponse(ProxyFixture.serverList(42, true,
                    ProxyFixture.serverEntry("s9", late.address(), "ready"))));
            fleet.putInForce("s9", EXCLUDED_PAYLOAD);
            ListUpdate list = proxy.nextEvent(ListUpdate.class);
            while (list.backends().isEmpty()) {
                list = proxy.nextEvent(ListUpdate.class);
            }
            client.send(ProxyFixture.get("r1"));
            assertThat(proxy.nextEvent(AttemptEnded.class).outcome()).isEqualTo(Outcome.NOT_SENT);
        }
    }

    /** An exclusion that cannot be stored must be applied nevertheless, because the fleet has decided it. */
    @Test
    void appliesAnExclusionThatItCannotStore() throws Exception {
        Files.createFile(temp.resolve("excluded-by-fleet"));
        try (var server = new FakeServer(); var proxy = proxy(server)) {
            fleet.putInForce("s0", EXCLUDED_PAYLOAD);
            assertThat(proxy.nextEvent(Excluded.class)).isEqualTo(new Excluded("s0"));
            Files.delete(temp.resolve("excluded-by-fleet"));
            Path file = temp.resolve("excluded-by-fleet").resolve(Base64.getUrlEncoder().withoutPadding()
                    .encodeToString("s0".getBytes(StandardCharsets.UTF_8)));
            while (!Files.exists(file)) {
                Thread.onSpinWait();
            }
            assertThat(proxy.events).noneMatch(Included.class::isInstance);
        }
    }

    /** During an upgrade the old process has the address: the new one applies the exclusions stored by the old one and joins after it. */
    @Test
    void joinsOnceTheOldProcessHasReleasedTheAddress() throws Exception {
        var ended = new CompletableFuture<Void>();
        var anywhere = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        try (var server = new FakeServer(); var socket = ServerSocketChannel.open().bind(anywhere);
                var old = proxy(server); var proxy = ProxyFixture.inFleet(() -> {
                    if (!ended.isDone()) {
                        throw new FleetException.AddressTaken("127.0.0.1:7401", "in use");
                    }
                    return new FakeFleet(ONE_HOUR_US);
                }, socket, (event, actions) -> { }, temp, server)) {
            assertThat(proxy.callOperator("fleet\n")).startsWith("FAILURE can't listen at 127.0.0.1:7401");
            fleet.putInForce("s0", EXCLUDED_PAYLOAD);
            assertThat(proxy.nextEvent(Excluded.class)).isEqualTo(new Excluded("s0"));
            old.drain();
            fleet.closed.join();
            ended.complete(null);
            while (!proxy.callOperator("fleet\n").startsWith("SUCCESS")) {
                Thread.onSpinWait();
            }
            assertThat(proxy.events).noneMatch(Included.class::isInstance);
        }
    }

    private Path fleetFile(String name, String seeds) throws Exception {
        Files.write(temp.resolve("fleet.key"), new byte[16]);
        return Files.writeString(temp.resolve(name + ".toml"), """
                format = 1
                cluster = "gent"
                name = "%s"
                bind = "127.0.0.1:0"
                voters = ["v1"]
                seeds = [%s]
                secret = "fleet.key"
                """.formatted(name, seeds));
    }

    /** Uses real members: the proxy is an observer, and its only voter ends. */
    @Test
    void anObserverKeepsItsExclusionsAfterItsVoterHasEnded() throws Exception {
        Fleet voter = Fleet.open(fleetFile("v1", ""), Map.of());
        try (var server = new FakeServer();
                var proxy = ProxyFixture.inFleet(ProxyFleetMember.opener(fleetFile("n0", "\"" + voter.address() + "\""), Map.of()), null,
                        (event, actions) -> { }, temp, server)) {
            while (!json(proxy.callOperator("fleet\n")).get("level").booleanValue()) {
                Thread.onSpinWait();
            }
            JsonNode known = json(proxy.callOperator("fleet\n"));
            assertThat(known.get("feeds")).isEqualTo(Config.JSON.readTree("[\"v1\"]"));
            assertThat(known.get("control_age_ms").isIntegralNumber()).isTrue();
            assertThat(proxy.callOperator("exclude s0 fleet o1 -\n"))
                    .isEqualTo("SUCCESS s0 is taken out on the fleet, order=o1 version=1\n");
            assertThat(proxy.nextEvent(Excluded.class)).isEqualTo(new Excluded("s0"));
            while (json(proxy.callOperator("held s0 o1\n")).get("held").intValue() < 2) {
                Thread.onSpinWait();
            }
            assertThat(proxy.callOperator("exclude s0 fleet o2 other\n")).startsWith("FAILURE v1 says Overtaken: o2 ")
                    .contains("look at 'orders'");
            voter.close();
            while (json(proxy.callOperator("fleet\n")).get("level").booleanValue()) {
                Thread.onSpinWait();
            }
            assertThat(proxy.callOperator("include s0 fleet o3 o1\n")).startsWith("FAILURE o3 ");
            assertThat(proxy.callOperator("include s0\n")).contains("the fleet has it out");
            assertThat(json(proxy.callOperator("held s0 o1\n")).get("silent")).isEqualTo(Config.JSON.readTree("[\"v1\"]"));
            assertThat(json(proxy.callOperator("orders\n")).get("orders").get(0).get("id").textValue()).isEqualTo("o1");
            assertThat(proxy.events).noneMatch(Included.class::isInstance);
        } finally {
            voter.close();
        }
    }

    /** The status is published at most once a second, if it has changed or the published one will soon exceed its maximum age. */
    @Test
    void publishesItsStatus() throws Exception {
        try (var server = new FakeServer(); var proxy = proxy(server)) {
            String previous = FakeServer.takeNext(fleet.publishedEntries);
            assertThat(previous).matches("proxy n0 \\{\"ready\":(true|false),\"open\":0,\"servers\":[01],\"version\":\"unknown\"}");
            assertThat(proxy.callOperator("exclude s0\n")).startsWith("SUCCESS");
            String next = FakeServer.takeNext(fleet.publishedEntries);
            while (!next.contains("\"servers\":0")) {
                assertThat(next).isNotEqualTo(previous);
                previous = next;
                next = FakeServer.takeNext(fleet.publishedEntries);
            }
            assertThat(next).isNotEqualTo(previous).contains("\"ready\":false");
        }
        var zeroMaxAge = new FakeFleet(0);
        try (var proxy = ProxyFixture.inFleet(() -> zeroMaxAge, null, (event, actions) -> { }, temp)) {
            assertThat(proxy.callOperator("facts proxy\n")).startsWith("SUCCESS");
            String status = FakeServer.takeNext(zeroMaxAge.publishedEntries);
            assertThat(FakeServer.takeNext(zeroMaxAge.publishedEntries)).isEqualTo(status);
        }
    }
}

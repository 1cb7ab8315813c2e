package walkpost.fleet.member;

import static org.assertj.core.api.Assertions.assertThat;
import static walkpost.fleet.member.VirtualNetwork.at;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import walkpost.fleet.member.VirtualNetwork.Node;

/** Who lives, on a virtual clock and network: what each fault does, and after how many periods everybody knows. */
final class MembershipTest {
    private static final MemberSettings USUAL = MemberSettings.defaults();

    @ParameterizedTest
    @ValueSource(ints = {3, 10, 100})
    void allThatStartAtOnceKnowEachOther(int members) {
        var network = new VirtualNetwork(members, USUAL);
        for (int i = 0; i < members; i++) {
            network.start("n" + i, 1_000, at(i), List.of(at(0)));
        }
        assertThat(network.until(20, network::agreed)).isLessThanOrEqualTo(15);
    }

    @ParameterizedTest
    @CsvSource({"3,10", "10,14", "30,18", "100,20"})
    void aDeathIsKnownToAll(int members, int periods) {
        for (int seed = 0; seed < 5; seed++) {
            var network = VirtualNetwork.of(members, seed, USUAL);
            network.kill(network.node(2));
            assertThat(network.until(periods, () -> network.everybodyHolds("n2", Standing.DEAD))).as("periods, seed %d", seed)
                    .isLessThanOrEqualTo(periods);
            assertThat(network.deaths(c -> !c.member().life().name().equals("n2"))).isZero();
        }
    }

    @ParameterizedTest
    @CsvSource({"3,300", "10,300", "30,100"})
    void whileThreeInTenDatagramsAreLostHardlyAnybodyIsTakenForDead(int members, int periods) {
        long deaths = 0;
        long suspicions = 0;
        for (int seed = 0; seed < 10; seed++) {
            var network = VirtualNetwork.of(members, seed, USUAL);
            network.loss = 0.3;
            network.run(periods);
            deaths += network.deaths(c -> true);
            suspicions += network.nodes.values().stream().mapToLong(n -> n.machine.figures().suspicions()).sum();
            network.loss = 0;
            assertThat(network.until(60, network::agreed)).as("periods to agree, seed %d", seed).isLessThanOrEqualTo(60);
        }
        assertThat(suspicions).isPositive();
        long pairs = 10L * periods * members * (members - 1);
        assertThat(deaths).as("wrong opinions in %d periods of one member holding another", pairs).isLessThanOrEqualTo(pairs / 100_000);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void oneThatIsNotHeardOrDoesNotHearIsDeadForAllAndTakesNobodyAlong(boolean deaf) {
        for (int seed = 0; seed < 5; seed++) {
            var network = VirtualNetwork.of(10, seed, USUAL);
            network.cut = (from, to) -> (deaf ? to : from).equals(at(4));
            int took = network.until(40, () -> network.nodes.values().stream().filter(n -> !n.name.equals("n4"))
                    .allMatch(n -> n.holds("n4", Standing.DEAD)));
            assertThat(took).isLessThanOrEqualTo(20);
            network.run(200);
            assertThat(network.deaths(c -> !c.at().equals("n4") && !c.member().life().name().equals("n4"))).isZero();
            assertThat(network.node(0).holds("n4", Standing.DEAD)).isTrue();
            network.cut = (from, to) -> false;
            assertThat(network.until(40, network::agreed)).isLessThanOrEqualTo(20);
        }
    }

    @Test
    void oneThatWasStoppedCondemnsNobodyAndComesBack() {
        for (int seed = 0; seed < 10; seed++) {
            var network = VirtualNetwork.of(10, seed, USUAL);
            Node stopped = network.node(3);
            network.stop(stopped);
            assertThat(network.until(60, () -> network.nodes.values().stream().filter(n -> n != stopped)
                    .allMatch(n -> n.holds("n3", Standing.DEAD)))).isLessThanOrEqualTo(40);
            network.goOn(stopped);
            assertThat(network.until(20, network::agreed)).isLessThanOrEqualTo(10);
            network.run(60);
            assertThat(network.deaths(c -> !c.member().life().name().equals("n3"))).isZero();
            assertThat(stopped.machine.figures().standstills()).isOne();
            assertThat(stopped.machine.figures().refutations()).isPositive();
        }
    }

    @Test
    void oneThatWasStoppedWhileTheOthersDiedFindsOut() {
        var network = VirtualNetwork.of(3, 1, USUAL);
        network.stop(network.node(2));
        network.kill(network.node(0));
        network.kill(network.node(1));
        network.run(100);
        network.goOn(network.node(2));
        assertThat(network.until(150, () -> network.node(2).machine.roundTripUs().isEmpty())).isLessThanOrEqualTo(100);
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 20_000})
    void halvesFindEachOtherAfterACutOfAnyLength(int periods) {
        var network = VirtualNetwork.of(10, 5, USUAL);
        network.cut = (from, to) -> half(from) != half(to);
        network.run(periods);
        boolean forgotten = periods * VirtualNetwork.PERIOD > USUAL.forgetUs();
        assertThat(network.node(0).held("n9") == null).isEqualTo(forgotten);
        assertThat(network.node(0).machine.roundTripUs()).hasSize(4);
        network.changes.clear();
        network.cut = (from, to) -> false;
        assertThat(network.until(80, network::agreed)).isLessThanOrEqualTo(40);
        assertThat(network.deaths(c -> true)).isZero();
    }

    private static boolean half(Address address) {
        return Integer.parseInt(address.host().substring("127.1.0.".length())) < 5;
    }

    @Test
    void aRestartWithTheOldNameAndAddressOutdoesItsFormerLife() {
        var network = VirtualNetwork.of(5, 2, USUAL);
        network.kill(network.node(3));
        network.start("n3", 5_000, at(3), List.of(at(0)));
        assertThat(network.until(40, () -> network.nodes.values().stream().allMatch(n -> n.held("n3").life().incarnation() == 5_000)))
                .isLessThanOrEqualTo(15);
        network.run(100);
        assertThat(network.deaths(c -> true)).isZero();
    }

    @Test
    void aRestartWhoseClockWentBackOutbidsItsFormerLife() {
        var network = VirtualNetwork.of(5, 2, USUAL);
        network.kill(network.node(3));
        network.start("n3", 7, at(3), List.of(at(0)));
        assertThat(network.until(40, network::agreed)).isLessThanOrEqualTo(20);
        assertThat(network.node(3).held("n3").life().incarnation()).isGreaterThan(1_000);
    }

    @Test
    void oneThatLeavesIsNotMissed() {
        var network = VirtualNetwork.of(10, 3, USUAL);
        Node leaving = network.node(6);
        network.loss = 0.3;
        network.give(leaving, new MemberEvent.Leave());
        network.kill(leaving);
        assertThat(network.until(40, () -> network.everybodyHolds("n6", Standing.LEFT))).isLessThanOrEqualTo(10);
        network.run(60);
        assertThat(network.deaths(c -> c.member().life().name().equals("n6"))).isZero();
    }

    @Test
    void ofTwoWithOneNameTheHigherIncarnationWinsForGood() {
        var network = VirtualNetwork.of(6, 4, USUAL);
        Node second = network.start("n2", 9_000, at(50), List.of(at(0)));
        network.run(10);
        network.changes.clear();
        network.run(200);
        assertThat(network.changes).noneMatch(c -> c.member().life().name().equals("n2"));
        for (Node node : network.nodes.values()) {
            if (!node.name.equals("n2")) {
                assertThat(node.held("n2")).isEqualTo(new Member(new Life("n2", 9_000), at(50), Standing.ALIVE));
                assertThat(node.machine.figures().conflicts()).isPositive();
            }
        }
        network.kill(second);
        assertThat(network.until(100, () -> network.nodes.values().stream().allMatch(n -> n.held("n2").address().equals(at(2))
                && n.holds("n2", Standing.ALIVE)))).as("the other takes the name when it is free").isLessThanOrEqualTo(100);
    }

    @Test
    void equalSeedsGiveEqualActions() {
        assertThat(play(11)).isEqualTo(play(11)).isNotEqualTo(play(12));
    }

    private static List<Object> play(long seed) {
        var network = VirtualNetwork.of(8, seed, USUAL);
        network.sent = new ArrayList<>();
        network.loss = 0.2;
        network.run(20);
        network.kill(network.node(5));
        network.run(40);
        return List.of(network.changes, network.sent);
    }
}

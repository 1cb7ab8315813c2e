package walkpost.fleet.member;

import static org.assertj.core.api.Assertions.assertThat;
import static walkpost.fleet.member.VirtualNetwork.address;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import walkpost.fleet.member.VirtualNetwork.Node;

/** Tests on a virtual clock and network what each fault does to the membership, and within how many periods all members agree on it. */
final class MembershipTest {
    private static final MemberSettings SETTINGS = MemberSettings.defaults();

    @ParameterizedTest
    @ValueSource(ints = {3, 10, 100})
    void membersThatStartTogetherConverge(int members) {
        var network = new VirtualNetwork(members, SETTINGS);
        for (int i = 0; i < members; i++) {
            network.start("n" + i, 1_000, address(i), List.of(address(0)));
        }
        assertThat(network.periodsUntil(20, network::hasConverged)).isLessThanOrEqualTo(15);
    }

    @ParameterizedTest
    @CsvSource({"3,10", "10,14", "30,18", "100,20"})
    void aDeadMemberIsDetectedByAll(int members, int periods) {
        for (int seed = 0; seed < 5; seed++) {
            var network = VirtualNetwork.of(members, seed, SETTINGS);
            network.kill(network.node(2));
            assertThat(network.periodsUntil(periods, () -> network.allOthersHold("n2", Standing.DEAD))).as("periods, seed %d", seed)
                    .isLessThanOrEqualTo(periods);
            assertThat(network.countDeaths(change -> !change.member().life().name().equals("n2"))).isZero();
        }
    }

    @ParameterizedTest
    @CsvSource({"3,300", "10,300", "30,100"})
    void lossOfThreeInTenDatagramsCausesHardlyAnyFalseDeaths(int members, int periods) {
        long deaths = 0;
        long suspicions = 0;
        for (int seed = 0; seed < 10; seed++) {
            var network = VirtualNetwork.of(members, seed, SETTINGS);
            network.lossRate = 0.3;
            network.run(periods);
            deaths += network.countDeaths(change -> true);
            suspicions += network.nodes.values().stream().mapToLong(node -> node.membership.counters().suspicions()).sum();
            network.lossRate = 0;
            assertThat(network.periodsUntil(60, network::hasConverged)).as("periods to agree, seed %d", seed).isLessThanOrEqualTo(60);
        }
        assertThat(suspicions).isPositive();
        long pairPeriods = 10L * periods * members * (members - 1);
        assertThat(deaths).as("false deaths in %d periods, summed over all ordered pairs of members", pairPeriods)
                .isLessThanOrEqualTo(pairPeriods / 100_000);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aMemberCutOffInOneDirectionIsDeadForAllAndCausesNoFalseDeaths(boolean cannotReceive) {
        for (int seed = 0; seed < 5; seed++) {
            var network = VirtualNetwork.of(10, seed, SETTINGS);
            network.isCut = (from, to) -> (cannotReceive ? to : from).equals(address(4));
            int periodsTaken = network.periodsUntil(40, () -> network.nodes.values().stream().filter(node -> !node.name.equals("n4"))
                    .allMatch(node -> node.holds("n4", Standing.DEAD)));
            assertThat(periodsTaken).isLessThanOrEqualTo(20);
            network.run(200);
            assertThat(network.countDeaths(change -> !change.observer().equals("n4")
                    && !change.member().life().name().equals("n4"))).isZero();
            assertThat(network.node(0).holds("n4", Standing.DEAD)).isTrue();
            network.isCut = (from, to) -> false;
            assertThat(network.periodsUntil(40, network::hasConverged)).isLessThanOrEqualTo(20);
        }
    }

    @Test
    void aPausedMemberDeclaresNobodyDeadAndComesBack() {
        for (int seed = 0; seed < 10; seed++) {
            var network = VirtualNetwork.of(10, seed, SETTINGS);
            Node paused = network.node(3);
            network.pause(paused);
            assertThat(network.periodsUntil(60, () -> network.nodes.values().stream().filter(node -> node != paused)
                    .allMatch(node -> node.holds("n3", Standing.DEAD)))).isLessThanOrEqualTo(40);
            network.resume(paused);
            assertThat(network.periodsUntil(20, network::hasConverged)).isLessThanOrEqualTo(10);
            network.run(60);
            assertThat(network.countDeaths(change -> !change.member().life().name().equals("n3"))).isZero();
            assertThat(paused.membership.counters().standstills()).isOne();
            assertThat(paused.membership.counters().refutations()).isPositive();
        }
    }

    @Test
    void aMemberPausedWhileTheOthersDiedDetectsTheirDeaths() {
        var network = VirtualNetwork.of(3, 1, SETTINGS);
        network.pause(network.node(2));
        network.kill(network.node(0));
        network.kill(network.node(1));
        network.run(100);
        network.resume(network.node(2));
        assertThat(network.periodsUntil(150, () -> network.node(2).membership.roundTripBoundsUs().isEmpty())).isLessThanOrEqualTo(100);
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 20_000})
    void halvesReuniteAfterANetworkPartitionOfAnyLength(int periods) {
        var network = VirtualNetwork.of(10, 5, SETTINGS);
        network.isCut = (from, to) -> isInFirstHalf(from) != isInFirstHalf(to);
        network.run(periods);
        boolean isForgotten = periods * VirtualNetwork.PERIOD_US > SETTINGS.forgetUs();
        assertThat(network.node(0).viewOf("n9") == null).isEqualTo(isForgotten);
        assertThat(network.node(0).membership.roundTripBoundsUs()).hasSize(4);
        network.changes.clear();
        network.isCut = (from, to) -> false;
        assertThat(network.periodsUntil(80, network::hasConverged)).isLessThanOrEqualTo(40);
        assertThat(network.countDeaths(change -> true)).isZero();
    }

    private static boolean isInFirstHalf(Address address) {
        return Integer.parseInt(address.host().substring("127.1.0.".length())) < 5;
    }

    @Test
    void aRestartWithTheSameNameAndAddressSupersedesTheEarlierLife() {
        var network = VirtualNetwork.of(5, 2, SETTINGS);
        network.kill(network.node(3));
        network.start("n3", 5_000, address(3), List.of(address(0)));
        assertThat(network.periodsUntil(40, () -> network.nodes.values().stream()
                .allMatch(node -> node.viewOf("n3").life().incarnation() == 5_000)))
                .isLessThanOrEqualTo(15);
        network.run(100);
        assertThat(network.countDeaths(change -> true)).isZero();
    }

    @Test
    void aRestartWithALowerIncarnationOutbidsTheEarlierLife() {
        var network = VirtualNetwork.of(5, 2, SETTINGS);
        network.kill(network.node(3));
        network.start("n3", 7, address(3), List.of(address(0)));
        assertThat(network.periodsUntil(40, network::hasConverged)).isLessThanOrEqualTo(20);
        assertThat(network.node(3).viewOf("n3").life().incarnation()).isGreaterThan(1_000);
    }

    @Test
    void aMemberThatLeavesIsNotDeclaredDead() {
        var network = VirtualNetwork.of(10, 3, SETTINGS);
        Node leaving = network.node(6);
        network.lossRate = 0.3;
        network.handle(leaving, new MemberEvent.Leave());
        network.kill(leaving);
        assertThat(network.periodsUntil(40, () -> network.allOthersHold("n6", Standing.LEFT))).isLessThanOrEqualTo(10);
        network.run(60);
        assertThat(network.countDeaths(change -> change.member().life().name().equals("n6"))).isZero();
    }

    @Test
    void ofTwoProcessesWithOneNameTheHigherIncarnationWinsWithoutFlapping() {
        var network = VirtualNetwork.of(6, 4, SETTINGS);
        Node second = network.start("n2", 9_000, address(50), List.of(address(0)));
        network.run(10);
        network.changes.clear();
        network.run(200);
        assertThat(network.changes).noneMatch(change -> change.member().life().name().equals("n2"));
        for (Node node : network.nodes.values()) {
            if (!node.name.equals("n2")) {
                assertThat(node.viewOf("n2")).isEqualTo(new Member(new Life("n2", 9_000), address(50), Standing.ALIVE));
                assertThat(node.membership.counters().conflicts()).isPositive();
            }
        }
        network.kill(second);
        assertThat(network.periodsUntil(100, () -> network.nodes.values().stream()
                .allMatch(node -> node.viewOf("n2").address().equals(address(2)) && node.holds("n2", Standing.ALIVE))))
                .as("the first process takes the name back once the second is dead").isLessThanOrEqualTo(100);
    }

    @Test
    void equalSeedsGiveEqualActions() {
        assertThat(changesAndMessages(11)).isEqualTo(changesAndMessages(11)).isNotEqualTo(changesAndMessages(12));
    }

    private static List<Object> changesAndMessages(long seed) {
        var network = VirtualNetwork.of(8, seed, SETTINGS);
        network.sent = new ArrayList<>();
        network.lossRate = 0.2;
        network.run(20);
        network.kill(network.node(5));
        network.run(40);
        return List.of(network.changes, network.sent);
    }
}

package walkpost.fleet.copy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import walkpost.fleet.FleetException;
import walkpost.fleet.member.Life;

/** Tests how members decide, acknowledge and store orders, under message loss, partitions, suspensions and restarts. */
class OrdersTest {
    private static final Order.Key EXCLUSION = new Order.Key(SlotMerge.EXCLUSION, "s1");
    private static final Order.Key PLACEMENT = new Order.Key("placement", "l1");

    /** Returns a cluster of which all members have caught up. */
    private static ShardCluster caughtUp(int size) {
        return caughtUp(new ShardCluster(size));
    }

    private static ShardCluster caughtUp(ShardCluster cluster) {
        cluster.run(8_000);
        assertThat(cluster.nodes.values()).allMatch(node -> node.shard.isCaughtUp());
        return cluster;
    }

    /** Asserts that all members hold the same heads for a key and act on the same payload. */
    private static void assertInEffect(ShardCluster cluster, Order.Key key, String payload, String... heads) {
        assertThat(cluster.nodes.values()).allSatisfy(node -> {
            assertThat(node.heads(key)).containsExactly(heads);
            assertThat(node.shard.effectiveOrders().get(key).payload()).isEqualTo(payload);
            assertThat(node.effectiveOrders.get(key).get(node.effectiveOrders.get(key).size() - 1).payload()).isEqualTo(payload);
        });
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 12, 100})
    void anAcknowledgedOrderIsInEffectOnAllMembers(int size) {
        ShardCluster cluster = caughtUp(size);
        ShardCluster.Node first = cluster.nodes.values().iterator().next();
        first.order(EXCLUSION, "o1", "", "{}");
        cluster.run(10);
        assertThat(first.acknowledged).containsKey("o1");
        assertInEffect(cluster, EXCLUSION, "{}", "o1");
        first.order(EXCLUSION, "o2", "o1", null);
        cluster.run(10);
        assertInEffect(cluster, EXCLUSION, null, "o2");
        assertThat(first.disk.get(EXCLUSION).replaced()).containsKey("o1");
    }

    @Test
    void anOrderWithoutAMajorityIsRefusedWithTheMissingMembersAndNeverTakesEffect() {
        ShardCluster cluster = caughtUp(3);
        cluster.isolate("b", "c");
        cluster.node("a").order(EXCLUSION, "o1", "", "{}");
        cluster.run(1_100);
        assertThat(cluster.node("a").refused.get("o1")).isInstanceOf(FleetException.NoMajority.class)
                .hasMessageContaining("1 of 3").hasMessageContaining("b, c");
        cluster.heal();
        cluster.run(20_000);
        assertThat(cluster.nodes.values()).allMatch(node -> node.shard.slots().isEmpty() && node.disk.isEmpty());
    }

    @Test
    void lostPromisesNeverBringAnOrderIntoForceAndAreReleased() {
        ShardCluster cluster = caughtUp(3);
        cluster.lost = flight -> flight.message() instanceof ShardMessage.Promised;
        cluster.node("a").order(EXCLUSION, "o1", "", "{}");
        cluster.run(1_100);
        assertThat(cluster.node("a").refused.get("o1")).isInstanceOf(FleetException.NoMajority.class);
        cluster.heal();
        cluster.node("b").order(EXCLUSION, "o2", "", "{2}");
        cluster.run(1_000);
        assertInEffect(cluster, EXCLUSION, "{2}", "o2");
    }

    @Test
    void anOrderSentAgainIsCarriedOutOnceAndAnsweredAgain() {
        ShardCluster cluster = caughtUp(3);
        for (String name : List.of("a", "a", "c")) {
            cluster.node(name).order(EXCLUSION, "o1", "", "{}");
            cluster.run(100);
            assertThat(cluster.node(name).acknowledged).containsKey("o1");
        }
        assertInEffect(cluster, EXCLUSION, "{}", "o1");
        assertThat(cluster.nodes.values()).allMatch(node -> node.effectiveOrders.get(EXCLUSION).size() == 1);
        cluster.node("a").order(EXCLUSION, "o1", "", "{other}");
        assertThat(cluster.node("a").refused.get("o1")).isInstanceOf(FleetException.BadCall.class);
        cluster.node("a").order(EXCLUSION, "o2", "o1", null);
        cluster.run(100);
        cluster.node("b").order(EXCLUSION, "o1", null, "{}");
        assertThat(cluster.node("b").refused.get("o1")).isInstanceOf(FleetException.Overtaken.class);
    }

    @Test
    void anOrderThatReplacesAnOrderNoLongerInForceIsRefused() {
        ShardCluster cluster = caughtUp(3);
        cluster.node("a").order(PLACEMENT, "o1", "", "1");
        cluster.run(100);
        cluster.node("b").order(PLACEMENT, "o2", "", "2");
        assertThat(cluster.node("b").refused.get("o2")).isInstanceOf(FleetException.Overtaken.class).hasMessageContaining("o1");
        cluster.node("b").order(PLACEMENT, "o3", "o1", null);
        cluster.run(100);
        cluster.node("b").order(PLACEMENT, "o4", null, null);
        assertThat(cluster.node("b").refused.get("o4")).isInstanceOf(FleetException.BadCall.class);
        assertInEffect(cluster, PLACEMENT, null, "o3");
    }

    @Test
    void ofTwoConcurrentOrdersAtMostOneIsAcknowledged() {
        ShardCluster cluster = caughtUp(5);
        cluster.node("a").order(PLACEMENT, "x", "", "1");
        cluster.node("b").order(PLACEMENT, "y", "", "2");
        cluster.run(3_000);
        assertThat(cluster.node("a").acknowledged.size() + cluster.node("b").acknowledged.size()).isLessThanOrEqualTo(1);
        FleetException failure = cluster.node("a").refused.getOrDefault("x", cluster.node("b").refused.get("y"));
        assertThat(failure).isInstanceOfAny(FleetException.Busy.class, FleetException.Overtaken.class);
        assertThat(cluster.nodes.values()).allMatch(node -> node.heads(PLACEMENT).size() <= 1);
    }

    @Test
    void aDecidedOrderWithoutConfirmationsIsUncertainAndAcknowledgedWhenSentAgain() {
        ShardCluster cluster = caughtUp(3);
        cluster.lost = flight -> flight.message() instanceof ShardMessage.Committed;
        cluster.node("a").order(EXCLUSION, "o1", "", "{}");
        cluster.run(2_100);
        assertThat(cluster.node("a").refused.get("o1")).isInstanceOf(FleetException.Uncertain.class).hasMessageContaining("b, c");
        cluster.heal();
        cluster.node("a").order(EXCLUSION, "o1", "", "{}");
        cluster.run(100);
        assertThat(cluster.node("a").acknowledged).containsKey("o1");
        assertInEffect(cluster, EXCLUSION, "{}", "o1");
    }

    @Test
    void aCoordinatorSuspendedBeforeItReadsItsPromisesDecidesNothing() {
        ShardCluster cluster = caughtUp(3);
        cluster.node("a").order(EXCLUSION, "o1", "", "{}");
        cluster.suspend("a");
        cluster.run(10_000);
        cluster.resume("a");
        cluster.run(10_000);
        assertThat(cluster.node("a").refused.get("o1")).isInstanceOf(FleetException.NoMajority.class);
        assertThat(cluster.nodes.values()).allMatch(node -> node.shard.slots().isEmpty() && node.shard.isCaughtUp());
    }

    @Test
    void aCoordinatorSuspendedBeforeItSendsItsDecisionLeavesRivalsUntilAnOperatorSettlesThem() {
        ShardCluster cluster = caughtUp(3);
        ShardCluster.Node a = cluster.node("a");
        a.order(PLACEMENT, "o0", "", "0");
        a.order(EXCLUSION, "e0", "", "{}");
        cluster.run(100);
        a.order(PLACEMENT, "o1", "o0", "1");
        a.order(EXCLUSION, "e1", "e0", "{1}");
        cluster.run(1);
        a.actionsPaused = true;
        cluster.run(10);
        assertThat(a.heads(PLACEMENT)).containsExactly("o1");
        cluster.suspend("a");
        cluster.run(5_000);
        cluster.node("b").order(PLACEMENT, "o2", "o0", "2");
        cluster.node("b").order(EXCLUSION, "e2", "e0", null);
        cluster.run(1_000);
        assertThat(cluster.node("b").acknowledged).containsKeys("o2", "e2");
        a.actionsPaused = false;
        a.carryOutActions();
        cluster.resume("a");
        cluster.run(10_000);
        assertThat(a.refused.get("o1")).isInstanceOf(FleetException.Uncertain.class);
        assertInEffect(cluster, PLACEMENT, "0", "o1", "o2");
        assertInEffect(cluster, EXCLUSION, "{1}", "e1", "e2");
        cluster.node("c").order(PLACEMENT, "o3", "o2", "3");
        assertThat(cluster.node("c").refused.get("o3")).isInstanceOf(FleetException.Overtaken.class).hasMessageContaining("o1 and o2");
        cluster.node("c").order(PLACEMENT, "o4", null, "4");
        cluster.run(100);
        assertInEffect(cluster, PLACEMENT, "4", "o4");
    }

    @Test
    void anAcceptorThatWasSuspendedPromisesNothingUntilItHasCaughtUp() {
        ShardCluster cluster = caughtUp(3);
        cluster.isolate("c");
        cluster.suspend("b");
        cluster.node("a").order(EXCLUSION, "o1", "", "{}");
        cluster.run(900);
        assertThat(cluster.node("b").inbox).isNotEmpty();
        cluster.nowUs += 2_000_000;
        cluster.resume("b");
        assertThat(cluster.node("b").shard.isCaughtUp()).isFalse();
        cluster.run(200);
        assertThat(cluster.node("a").refused).containsKey("o1");
        assertThat(cluster.node("b").shard.slots()).isEmpty();
    }

    @Test
    void anIsolatedMemberCatchesUpAndRemovedOrdersDoNotComeBack() {
        ShardCluster cluster = caughtUp(3);
        cluster.node("a").order(EXCLUSION, "o1", "", "{}");
        cluster.run(100);
        cluster.isolate("c");
        cluster.node("a").order(EXCLUSION, "o2", "o1", null);
        for (int i = 0; i < 300; i++) {
            cluster.node("b").order(new Order.Key("placement", "l" + i), "p" + i, "", "x".repeat(200));
        }
        cluster.run(8_000);
        assertThat(cluster.node("c").shard.isCaughtUp()).isFalse();
        assertThat(cluster.node("c").effectiveOrders.get(EXCLUSION)).hasSize(1);
        cluster.heal();
        cluster.run(4_000);
        assertThat(cluster.node("c").shard.isCaughtUp()).isTrue();
        assertThat(cluster.node("c").shard.slots()).hasSize(301);
        assertInEffect(cluster, EXCLUSION, null, "o2");
    }

    @Test
    void aMemberIsolatedForLongerThanRemovalsAreRememberedEmptiesItsReplica() {
        ShardCluster cluster = caughtUp(new ShardCluster(3, ShardSettings.defaults().withRemovals(10, 20_000_000), 3));
        cluster.node("a").order(EXCLUSION, "o1", "", "{}");
        cluster.node("a").order(PLACEMENT, "p1", "", "1");
        cluster.run(100);
        cluster.isolate("c");
        cluster.node("a").order(EXCLUSION, "o2", "o1", null);
        cluster.run(25_000);
        assertThat(cluster.node("a").heads(EXCLUSION)).isEmpty();
        assertThat(cluster.node("a").disk).containsOnlyKeys(PLACEMENT);
        cluster.heal();
        cluster.run(10_000);
        assertThat(cluster.nodes.values()).allSatisfy(node -> {
            assertThat(node.shard.isCaughtUp()).isTrue();
            assertThat(node.heads(EXCLUSION)).isEmpty();
            assertThat(node.disk).containsOnlyKeys(PLACEMENT);
        });
        assertThat(cluster.node("c").effectiveOrders.get(EXCLUSION)).extracting(EffectiveOrder::payload).containsExactly("{}", null);
        assertInEffect(cluster, PLACEMENT, "1", "p1");
    }

    @Test
    void ordersThatRemoveAKeyAreRefusedWhileTheMemoryOfRemovalsIsFull() {
        ShardCluster cluster = caughtUp(new ShardCluster(3, ShardSettings.defaults().withRemovals(1, 20_000_000), 3));
        for (String id : List.of("x", "y")) {
            cluster.node("a").order(new Order.Key("t", id), id, "", "1");
            cluster.run(100);
            cluster.node("a").order(new Order.Key("t", id), id + "-", id, null);
            cluster.run(100);
        }
        assertThat(cluster.node("a").acknowledged).containsKey("x-");
        assertThat(cluster.node("a").refused.get("y-")).isInstanceOf(FleetException.Full.class);
        cluster.run(21_000);
        cluster.node("a").order(new Order.Key("t", "y"), "y-", "y", null);
        cluster.run(100);
        assertThat(cluster.node("a").acknowledged).containsKey("y-");
    }

    @Test
    void afterAllMembersWereKilledAcknowledgedOrdersAreRestoredFromDisk() {
        ShardCluster cluster = caughtUp(5);
        cluster.isolate("d", "e");
        cluster.node("a").order(EXCLUSION, "o1", "", "{}");
        cluster.run(100);
        assertThat(cluster.node("a").acknowledged).containsKey("o1");
        cluster.heal();
        cluster.nowUs += 3 * 24 * 3600 * 1_000_000L;
        cluster.nodes.values().forEach(node -> node.restart(3 * 24 * 3600 * 1_000_000L));
        assertThat(cluster.nodes.values()).noneMatch(node -> node.shard.isCaughtUp());
        cluster.run(2_900);
        assertThat(cluster.nodes.values()).noneMatch(node -> node.shard.isCaughtUp());
        cluster.run(5_000);
        assertThat(cluster.nodes.values()).allMatch(node -> node.shard.isCaughtUp());
        assertInEffect(cluster, EXCLUSION, "{}", "o1");
    }

    @Test
    void aMemberCutOffOrSuspendedIsNotCaughtUpUntilItHasComparedItsReplicaAgain() {
        ShardCluster cluster = caughtUp(3);
        cluster.isolate("c");
        cluster.run(3_900);
        assertThat(cluster.node("c").shard.isCaughtUp()).isTrue();
        cluster.run(1_200);
        assertThat(cluster.node("c").shard.isCaughtUp()).isFalse();
        cluster.node("c").order(EXCLUSION, "o1", "", "{}");
        assertThat(cluster.node("c").refused.get("o1")).isInstanceOf(FleetException.NotLevel.class).hasMessageContaining("1 of 2");
        assertThat(cluster.node("a").shard.isCaughtUp()).isTrue();
        cluster.heal();
        cluster.run(2_500);
        assertThat(cluster.node("c").shard.isCaughtUp()).isTrue();
        cluster.suspend("c");
        cluster.run(1_500);
        cluster.resume("c");
        cluster.run(1);
        assertThat(cluster.node("c").shard.counters()).containsEntry("touch.stood_still", 1L).containsEntry("touch.lost", 2L);
        cluster.run(2_500);
        assertThat(cluster.node("c").shard.isCaughtUp()).isTrue();
    }

    @Test
    void ordersOfTheGreatestSizeAndTheirRivalsFitIntoMessages() {
        ShardCluster cluster = caughtUp(3);
        String payload = "\u00e9".repeat(MessageSizes.MAX_ORDER_PAYLOAD_BYTES / 2);
        for (int i = 0; i < 70; i++) {
            cluster.node("a").order(PLACEMENT, "x".repeat(MessageSizes.MAX_ORDER_ID_BYTES - 2) + (10 + i), null, payload);
            cluster.run(10);
        }
        assertThat(cluster.node("a").acknowledged).hasSize(70);
        assertThat(cluster.node("b").disk.get(PLACEMENT).replaced()).hasSize(SlotMerge.MAX_REPLACED_IDS);
        for (int i = 0; i < 7; i++) {
            Order rival = new Order(PLACEMENT, "r" + i, 70, List.of(), payload, payload, new Life("z", 1));
            cluster.node(i % 2 == 0 ? "b" : "c").handle(new ShardEvent.Received("z",
                    new ShardMessage.Commit(i, rival.id(), new Slot(PLACEMENT, List.of(rival), Map.of(), 0))));
        }
        cluster.run(5_000);
        assertThat(cluster.nodes.values()).allMatch(node -> node.heads(PLACEMENT).size() == 8);
        cluster.node("c").order(PLACEMENT, "settled", null, payload);
        cluster.run(100);
        assertInEffect(cluster, PLACEMENT, payload, "settled");
    }

    @Test
    void anOrderOfAMinorityThatFallsBelowTheFloorIsDroppedAndCounted() {
        ShardCluster cluster = caughtUp(3);
        cluster.lost = flight -> flight.message() instanceof ShardMessage.Commit;
        cluster.node("c").order(PLACEMENT, "lonely", "", "0");
        cluster.run(20);
        cluster.isolate("c");
        cluster.lost = flight -> false;
        cluster.run(3_000);
        assertThat(cluster.node("c").refused.get("lonely")).isInstanceOf(FleetException.Uncertain.class);
        for (int i = 0; i < 70; i++) {
            cluster.node("a").order(PLACEMENT, "o" + i, null, "1");
            cluster.run(10);
        }
        cluster.heal();
        cluster.run(5_000);
        assertInEffect(cluster, PLACEMENT, "1", "o69");
        assertThat(cluster.node("c").shard.counters()).containsEntry("orders.under_floor", 1L);
    }

    @Test
    void equalSeedsGiveEqualActions() {
        List<String> first = trace();
        assertThat(first).hasSizeGreaterThan(100).isEqualTo(trace());
    }

    private static List<String> trace() {
        List<String> trace = new ArrayList<>();
        ShardCluster cluster = new ShardCluster(4);
        cluster.lost = flight -> {
            trace.add(flight.atUs() + " " + flight.from() + " " + flight.to() + " " + flight.message().getClass().getSimpleName());
            return flight.number() % 7 == 0;
        };
        cluster.run(6_000);
        cluster.node("a").order(EXCLUSION, "o1", "", "{}");
        cluster.node("b").handle(new ShardEvent.WriteEntry("verdict", "s1", "1"));
        cluster.run(2_000);
        return trace;
    }
}

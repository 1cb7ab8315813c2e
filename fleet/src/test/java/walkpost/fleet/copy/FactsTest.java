package walkpost.fleet.copy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class FactsTest {
    private static final Fact.Key KEY = new Fact.Key("verdict", "s1", "a");

    private static Cluster cluster(int size) {
        return new Cluster(size, CopySettings.usual().withBounds(Map.of("verdict", 3_000_000L), 10_000_000), 5);
    }

    private static void tell(Cluster.Node node, String payload) {
        node.take(new CopyEvent.Tell(KEY.topic(), KEY.subject(), payload));
    }

    private static void hears(Cluster.Node node, String from, Fact... facts) {
        node.take(new CopyEvent.Received(from, new CopyMessage.Facts(false, List.of(facts))));
    }

    private static Fact fact(long incarnation, long version, String payload) {
        return new Fact(KEY, incarnation, version, payload, 0);
    }

    @Test
    void aFactReachesAHundredMembersWithinTicks() {
        Cluster cluster = cluster(100);
        cluster.run(500);
        tell(cluster.node("n7"), "1");
        cluster.run(2_500);
        assertThat(cluster.nodes.values()).allSatisfy(node -> assertThat(node.shard.facts("verdict", cluster.nowUs))
                .singleElement().satisfies(fact -> assertThat(fact.payload()).isEqualTo("1")));
        assertThat(cluster.nodes.values()).allMatch(node -> node.heard.size() == (node.name.equals("n7") ? 0 : 1));
    }

    @Test
    void aFactsAgeCountsWhatItWasHeldForAndTheWay() {
        Cluster cluster = cluster(3);
        cluster.cut("c");
        tell(cluster.node("a"), "1");
        cluster.run(2_000);
        cluster.heal();
        cluster.run(1_500);
        long sinceUs = 3_500_000;
        assertThat(cluster.node("c").shard.facts("verdict", cluster.nowUs)).singleElement()
                .satisfies(fact -> assertThat(fact.ageUs()).isBetween(sinceUs, sinceUs + 20_000));
    }

    @Test
    void aFactPastItsBoundIsToldOnceAndOneRefreshedIsNot() {
        Cluster cluster = cluster(2);
        tell(cluster.node("a"), "1");
        cluster.run(2_900);
        assertThat(cluster.node("b").stale).isEmpty();
        tell(cluster.node("a"), "1");
        cluster.run(2_900);
        assertThat(cluster.node("b").stale).isEmpty();
        cluster.run(10_000);
        assertThat(cluster.node("b").stale).containsExactly(KEY);
        assertThat(cluster.node("a").stale).isEmpty();
    }

    @Test
    void factsOfAWriterThatIsGoneAreDroppedAfterTwiceTheirBoundAndThoseOfOneThatLivesStay() {
        Cluster cluster = cluster(3);
        tell(cluster.node("a"), "1");
        cluster.run(1_000);
        cluster.cut("a");
        cluster.node("b").take(new CopyEvent.Peers(Map.of("c", 2_000L)));
        cluster.run(5_500);
        assertThat(cluster.node("b").shard.facts("verdict", cluster.nowUs)).isEmpty();
        assertThat(cluster.node("c").shard.facts("verdict", cluster.nowUs)).hasSize(1);
        cluster.run(2_000);
        assertThat(cluster.node("b").shard.facts("verdict", cluster.nowUs)).as("nor does it come back from others").isEmpty();
    }

    @Test
    void ofTwoPayloadsOnOneVersionTheGreaterHoldsEverywhere() {
        Cluster cluster = cluster(3);
        hears(cluster.node("b"), "a", fact(1, 5, "x"), fact(1, 5, "y"), fact(1, 5, null), fact(1, 4, "z"));
        hears(cluster.node("c"), "a", fact(1, 5, "y"), fact(1, 5, "x"));
        cluster.nodes.values().stream().filter(node -> !node.name.equals("a")).forEach(node ->
                assertThat(node.shard.facts("verdict", cluster.nowUs)).extracting(Fact::payload).containsExactly("y"));
    }

    @Test
    void versionsNearOverflowAreRefused() {
        Cluster cluster = cluster(2);
        hears(cluster.node("b"), "a", fact(1, Long.MAX_VALUE, "x"), fact(Long.MAX_VALUE - 1, 1, "x"), fact(-1, 1, "x"),
                new Fact(KEY, 1, 1, "x", -1));
        assertThat(cluster.node("b").shard.facts("verdict", cluster.nowUs)).isEmpty();
        assertThat(cluster.node("b").shard.figures()).containsEntry("facts.refused", 4L);
    }

    @Test
    void whatAFormerLifeSaidEndsWithTheFirstFactOfTheNext() {
        Cluster cluster = cluster(2);
        Fact.Key other = new Fact.Key("verdict", "s2", "a");
        hears(cluster.node("b"), "a", fact(1, 5, "x"), new Fact(other, 1, 6, "x", 0));
        hears(cluster.node("b"), "a", fact(2, 1, "y"), new Fact(other, 1, 7, "z", 0));
        assertThat(cluster.node("b").shard.facts("verdict", cluster.nowUs)).extracting(Fact::payload).containsExactly("y");
        assertThat(cluster.node("b").heard.get(2)).extracting(Fact::key, Fact::payload).containsExactly(other, null);
    }

    @Test
    void aWriterWithdrawsWhatItDoesNotStandBehind() {
        Cluster cluster = cluster(3);
        cluster.run(100);
        Fact.Key other = new Fact.Key("verdict", "s2", "a");
        tell(cluster.node("a"), "mine");
        hears(cluster.node("b"), "c", fact(9, 9, "not mine"), new Fact(other, 9, 8, "nor this", 0));
        cluster.run(3_500);
        cluster.nodes.values().forEach(node ->
                assertThat(node.shard.facts("verdict", cluster.nowUs)).extracting(Fact::payload).containsExactly("mine"));
    }

    @Test
    void aWriterIsHeardThoughAFormerLifeOfAHigherIncarnationWithdrewAll() {
        Cluster cluster = cluster(3);
        cluster.run(100);
        tell(cluster.node("a"), "before");
        hears(cluster.node("b"), "c", new Fact(new Fact.Key("verdict", "s2", "a"), 9, 9, null, 0));
        cluster.run(1_000);
        tell(cluster.node("a"), "after");
        cluster.run(1_000);
        cluster.nodes.values().forEach(node ->
                assertThat(node.shard.facts("verdict", cluster.nowUs)).extracting(Fact::payload).containsExactly("after"));
    }

    @Test
    void whatCameWhileAMemberStoodStillCountsAsOldAsItMayBe() {
        Cluster cluster = cluster(2);
        cluster.run(100);
        cluster.stop("b");
        tell(cluster.node("a"), "1");
        cluster.run(10_000);
        cluster.go("b");
        assertThat(cluster.node("b").heard).first().satisfies(fact -> assertThat(fact.ageUs()).isGreaterThanOrEqualTo(9_900_000));
        assertThat(cluster.node("b").stale).containsExactly(KEY);
    }
}

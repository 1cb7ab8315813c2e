package walkpost.fleet.copy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests how entries spread between members: by gossip and anti-entropy, with ages, staleness, versions and incarnations. */
class EntryReplicationTest {
    private static final Entry.Key KEY = new Entry.Key("verdict", "s1", "a");

    private static ShardCluster cluster(int size) {
        return new ShardCluster(size, ShardSettings.defaults().withStalenessBounds(Map.of("verdict", 3_000_000L), 10_000_000), 5);
    }

    private static void write(ShardCluster.Node node, String payload) {
        node.handle(new ShardEvent.WriteEntry(KEY.topic(), KEY.subject(), payload));
    }

    private static void receive(ShardCluster.Node node, String from, Entry... entries) {
        node.handle(new ShardEvent.Received(from, new ShardMessage.Entries(false, List.of(entries))));
    }

    private static Entry entry(long incarnation, long version, String payload) {
        return new Entry(KEY, incarnation, version, payload, 0);
    }

    @Test
    void anEntryReachesAHundredMembersByGossip() {
        ShardCluster cluster = cluster(100);
        cluster.run(500);
        write(cluster.node("n7"), "1");
        cluster.run(2_500);
        assertThat(cluster.nodes.values()).allSatisfy(node -> assertThat(node.shard.entries("verdict", cluster.nowUs))
                .singleElement().satisfies(entry -> assertThat(entry.payload()).isEqualTo("1")));
        assertThat(cluster.nodes.values()).allMatch(node -> node.receivedEntries.size() == (node.name.equals("n7") ? 0 : 1));
    }

    @Test
    void theAgeOfAnEntryIncludesTheTimeAtEachMemberAndInTransit() {
        ShardCluster cluster = cluster(3);
        cluster.isolate("c");
        write(cluster.node("a"), "1");
        cluster.run(2_000);
        cluster.heal();
        cluster.run(1_500);
        long elapsedUs = 3_500_000;
        assertThat(cluster.node("c").shard.entries("verdict", cluster.nowUs)).singleElement()
                .satisfies(entry -> assertThat(entry.ageUs()).isBetween(elapsedUs, elapsedUs + 20_000));
    }

    @Test
    void aStaleEntryIsReportedOnceAndARefreshedEntryIsNot() {
        ShardCluster cluster = cluster(2);
        write(cluster.node("a"), "1");
        cluster.run(2_900);
        assertThat(cluster.node("b").staleEntries).isEmpty();
        write(cluster.node("a"), "1");
        cluster.run(2_900);
        assertThat(cluster.node("b").staleEntries).isEmpty();
        cluster.run(10_000);
        assertThat(cluster.node("b").staleEntries).containsExactly(KEY);
        assertThat(cluster.node("a").staleEntries).isEmpty();
    }

    @Test
    void entriesOfADeadWriterAreRemovedAfterTwiceTheirBoundAndThoseOfALivingWriterAreKept() {
        ShardCluster cluster = cluster(3);
        write(cluster.node("a"), "1");
        cluster.run(1_000);
        cluster.isolate("a");
        cluster.node("b").handle(new ShardEvent.LivePeers(Map.of("c", 2_000L)));
        cluster.run(5_500);
        assertThat(cluster.node("b").shard.entries("verdict", cluster.nowUs)).isEmpty();
        assertThat(cluster.node("c").shard.entries("verdict", cluster.nowUs)).hasSize(1);
        cluster.run(2_000);
        assertThat(cluster.node("b").shard.entries("verdict", cluster.nowUs)).as("an expired entry is not fetched again").isEmpty();
    }

    @Test
    void ofTwoPayloadsWithTheSameVersionTheGreaterWinsOnAllMembers() {
        ShardCluster cluster = cluster(3);
        receive(cluster.node("b"), "a", entry(1, 5, "x"), entry(1, 5, "y"), entry(1, 5, null), entry(1, 4, "z"));
        receive(cluster.node("c"), "a", entry(1, 5, "y"), entry(1, 5, "x"));
        cluster.nodes.values().stream().filter(node -> !node.name.equals("a")).forEach(node ->
                assertThat(node.shard.entries("verdict", cluster.nowUs)).extracting(Entry::payload).containsExactly("y"));
    }

    @Test
    void versionsNearOverflowAreRefused() {
        ShardCluster cluster = cluster(2);
        receive(cluster.node("b"), "a", entry(1, Long.MAX_VALUE, "x"), entry(Long.MAX_VALUE - 1, 1, "x"), entry(-1, 1, "x"),
                new Entry(KEY, 1, 1, "x", -1));
        assertThat(cluster.node("b").shard.entries("verdict", cluster.nowUs)).isEmpty();
        assertThat(cluster.node("b").shard.counters()).containsEntry("facts.refused", 4L);
    }

    @Test
    void theFirstEntryOfANewLifeWithdrawsTheEntriesOfTheFormerLife() {
        ShardCluster cluster = cluster(2);
        Entry.Key other = new Entry.Key("verdict", "s2", "a");
        receive(cluster.node("b"), "a", entry(1, 5, "x"), new Entry(other, 1, 6, "x", 0));
        receive(cluster.node("b"), "a", entry(2, 1, "y"), new Entry(other, 1, 7, "z", 0));
        assertThat(cluster.node("b").shard.entries("verdict", cluster.nowUs)).extracting(Entry::payload).containsExactly("y");
        assertThat(cluster.node("b").receivedEntries.get(2)).extracting(Entry::key, Entry::payload).containsExactly(other, null);
    }

    @Test
    void aWriterWithdrawsEntriesThatItNeverWrote() {
        ShardCluster cluster = cluster(3);
        cluster.run(100);
        Entry.Key other = new Entry.Key("verdict", "s2", "a");
        write(cluster.node("a"), "mine");
        receive(cluster.node("b"), "c", entry(9, 9, "not mine"), new Entry(other, 9, 8, "nor this", 0));
        cluster.run(3_500);
        cluster.nodes.values().forEach(node ->
                assertThat(node.shard.entries("verdict", cluster.nowUs)).extracting(Entry::payload).containsExactly("mine"));
    }

    @Test
    void entriesAreAcceptedAfterAFormerLifeWithAHigherIncarnationWithdrewAll() {
        ShardCluster cluster = cluster(3);
        cluster.run(100);
        write(cluster.node("a"), "before");
        receive(cluster.node("b"), "c", new Entry(new Entry.Key("verdict", "s2", "a"), 9, 9, null, 0));
        cluster.run(1_000);
        write(cluster.node("a"), "after");
        cluster.run(1_000);
        cluster.nodes.values().forEach(node ->
                assertThat(node.shard.entries("verdict", cluster.nowUs)).extracting(Entry::payload).containsExactly("after"));
    }

    @Test
    void entriesThatArriveDuringASuspensionAgeByItsWholeDuration() {
        ShardCluster cluster = cluster(2);
        cluster.run(100);
        cluster.suspend("b");
        write(cluster.node("a"), "1");
        cluster.run(10_000);
        cluster.resume("b");
        assertThat(cluster.node("b").receivedEntries).first()
                .satisfies(entry -> assertThat(entry.ageUs()).isGreaterThanOrEqualTo(9_900_000));
        assertThat(cluster.node("b").staleEntries).containsExactly(KEY);
    }
}

package walkpost.fleet.member;

import static org.assertj.core.api.Assertions.assertThat;
import static walkpost.fleet.member.VirtualNetwork.at;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** How members of a larger fleet compare what they hold before they tell it. */
class DigestTest {
    private static final MemberSettings USUAL = MemberSettings.defaults();
    private static final int MANY = 60;

    private static List<MemberMessage.Sync> syncs(VirtualNetwork network) {
        return network.sent.stream().map(MemberAction.SendTo::message).filter(MemberMessage.Sync.class::isInstance)
                .map(MemberMessage.Sync.class::cast).toList();
    }

    private static VirtualNetwork settled(long seed) {
        var network = VirtualNetwork.of(MANY, seed, USUAL);
        network.run(200);
        assertThat(network.agreed()).isTrue();
        network.sent = new ArrayList<>();
        return network;
    }

    @Test
    void whereAllHoldTheSameNobodyTellsAnybodyAll() {
        var network = settled(1);
        network.run(240);
        assertThat(network.sent).anyMatch(sent -> sent.message() instanceof MemberMessage.Check && !sent.large());
        assertThat(syncs(network)).isEmpty();
    }

    /** One that is asked holds one name less: what goes both ways is that name's bucket and no other. */
    @Test
    void whatDiffersIsToldAndNoMore() {
        var one = new Membership(USUAL, new Life("one", 1), at(1), List.of(), 1);
        var two = new Membership(USUAL, new Life("two", 1), at(2), List.of(), 2);
        List<News> all = Stream.iterate(0, i -> i + 1).limit(MANY)
                .map(i -> News.of(new Member(new Life("n" + i, 1), at(10 + i), Standing.ALIVE), "n0")).toList();
        var actions = new ArrayList<MemberAction>();
        one.handle(0, new MemberEvent.Tick(), actions::add);
        two.handle(0, new MemberEvent.Tick(), actions::add);
        one.handle(1, new MemberEvent.Received(at(2), new MemberMessage.Sync(true, new Life("two", 1), at(2), all)), actions::add);
        two.handle(1, new MemberEvent.Received(at(1), new MemberMessage.Sync(true, new Life("one", 1), at(1), all.subList(1, MANY))),
                actions::add);
        actions.clear();
        // Two holds all but n0, and both hold each other.
        List<Member> held = two.members().stream().filter(m -> MemberTable.isLiving(m)).toList();
        one.handle(2, new MemberEvent.Received(at(2), new MemberMessage.Check(Digest.of(held), new Life("two", 1), at(2), List.of())),
                actions::add);
        MemberMessage.Sync told = syncOf(actions);
        assertThat(told.buckets()).containsExactly(Digest.bucketOf("n0"));
        assertThat(told.news()).extracting(News::name).contains("n0")
                .allMatch(name -> Digest.bucketOf(name) == Digest.bucketOf("n0"));
        actions.clear();
        two.handle(3, new MemberEvent.Received(at(1), told), actions::add);
        assertThat(two.members()).anyMatch(m -> m.life().name().equals("n0"));
        MemberMessage.Sync answer = syncOf(actions);
        assertThat(answer.answer()).isTrue();
        assertThat(answer.buckets()).isEqualTo(told.buckets());
    }

    private static MemberMessage.Sync syncOf(List<MemberAction> actions) {
        return actions.stream().filter(MemberAction.SendTo.class::isInstance).map(a -> ((MemberAction.SendTo) a).message())
                .filter(MemberMessage.Sync.class::isInstance).map(MemberMessage.Sync.class::cast).findFirst().orElseThrow();
    }

    @Test
    void whatGossipHasMissedIsFoundByComparing() {
        var network = settled(2);
        // Nobody hears of its new life but the one that it asks.
        restartsUnheard(network);
        assertThat(network.until(240, network::agreed)).isLessThanOrEqualTo(240);
    }

    /** A member begins anew while its datagrams to all but one are lost. */
    private static void restartsUnheard(VirtualNetwork network) {
        network.kill(network.node(7));
        network.cut = (from, to) -> from.equals(at(7)) && !to.equals(at(3)) || to.equals(at(7)) && !from.equals(at(3));
        network.start("n7", 50_000, at(7), List.of(at(3)));
        network.run(3);
        network.cut = (from, to) -> false;
    }

    /** A restart is not to cost a message for each member: some are told, and tell the others. */
    @Test
    void whoLeavesTellsSomeAndAllHearOfIt() {
        var network = settled(4);
        network.give(network.node(9), new MemberEvent.Leave());
        assertThat(network.sent.stream().filter(sent -> sent.message() instanceof MemberMessage.Farewell)).hasSize(32);
        assertThat(network.until(30, () -> network.nodes.values().stream().filter(node -> !node.name.equals("n9"))
                .allMatch(node -> node.holds("n9", Standing.LEFT)))).isLessThanOrEqualTo(30);
    }

    @Test
    void garbledDigestsAndBucketsTellNothing() {
        assertThat(Digest.differingBuckets(Digest.of(List.of()), List.of(1, 2)).isEmpty()).isTrue();
        assertThat(Digest.requestedBuckets(List.of(-1, 64, 3)).stream().boxed().toList()).containsExactly(3);
        assertThat(Digest.requestedBuckets(null).cardinality()).isEqualTo(Digest.BUCKETS);
    }

    /** After a cut nobody waits for membership to find those again whom it must not do without. */
    @Test
    void someAreToldAsPeersWhateverIsHeldOfThem() {
        var network = VirtualNetwork.of(5, 3, USUAL);
        network.kill(network.node(2));
        network.until(100, () -> network.everybodyHolds("n2", Standing.DEAD));
        Membership machine = network.node(0).machine;
        assertThat(machine.roundTripUs()).doesNotContainKey("n2");
        assertThat(machine.roundTripUs(Set.of("n2", "nobody"))).containsKeys("n1", "n2").doesNotContainKey("nobody");
    }
}

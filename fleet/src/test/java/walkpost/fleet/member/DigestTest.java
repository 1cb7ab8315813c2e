package walkpost.fleet.member;

import static org.assertj.core.api.Assertions.assertThat;
import static walkpost.fleet.member.VirtualNetwork.address;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests how members of a fleet that is too large for full-state exchanges compare digests and send only the buckets that differ. */
class DigestTest {
    private static final MemberSettings SETTINGS = MemberSettings.defaults();
    private static final int MEMBERS = 60;

    private static List<MemberMessage.Sync> syncs(VirtualNetwork network) {
        return network.sent.stream().map(MemberAction.SendTo::message).filter(MemberMessage.Sync.class::isInstance)
                .map(MemberMessage.Sync.class::cast).toList();
    }

    private static VirtualNetwork convergedNetwork(long seed) {
        var network = VirtualNetwork.of(MEMBERS, seed, SETTINGS);
        network.run(200);
        assertThat(network.hasConverged()).isTrue();
        network.sent = new ArrayList<>();
        return network;
    }

    @Test
    void equalStatesAreNotExchanged() {
        var network = convergedNetwork(1);
        network.run(240);
        assertThat(network.sent).anyMatch(sent -> sent.message() instanceof MemberMessage.Check && !sent.large());
        assertThat(syncs(network)).isEmpty();
    }

    /** One member lacks a single name. Both directions of the exchange must carry the bucket of that name and no other. */
    @Test
    void onlyDifferingBucketsAreExchanged() {
        var one = new Membership(SETTINGS, new Life("one", 1), address(1), List.of(), 1);
        var two = new Membership(SETTINGS, new Life("two", 1), address(2), List.of(), 2);
        List<News> all = Stream.iterate(0, i -> i + 1).limit(MEMBERS)
                .map(i -> News.of(new Member(new Life("n" + i, 1), address(10 + i), Standing.ALIVE), "n0")).toList();
        var actions = new ArrayList<MemberAction>();
        one.handle(0, new MemberEvent.Tick(), actions::add);
        two.handle(0, new MemberEvent.Tick(), actions::add);
        one.handle(1, new MemberEvent.Received(address(2),
                new MemberMessage.Sync(true, new Life("two", 1), address(2), all)), actions::add);
        two.handle(1, new MemberEvent.Received(address(1),
                new MemberMessage.Sync(true, new Life("one", 1), address(1), all.subList(1, MEMBERS))), actions::add);
        actions.clear();
        // Two knows all names except n0, and one and two know each other.
        List<Member> livingAtTwo = two.members().stream().filter(member -> MemberTable.isLiving(member)).toList();
        one.handle(2, new MemberEvent.Received(address(2),
                new MemberMessage.Check(Digest.of(livingAtTwo), new Life("two", 1), address(2), List.of())), actions::add);
        MemberMessage.Sync request = syncOf(actions);
        assertThat(request.buckets()).containsExactly(Digest.bucketOf("n0"));
        assertThat(request.news()).extracting(News::name).contains("n0")
                .allMatch(name -> Digest.bucketOf(name) == Digest.bucketOf("n0"));
        actions.clear();
        two.handle(3, new MemberEvent.Received(address(1), request), actions::add);
        assertThat(two.members()).anyMatch(member -> member.life().name().equals("n0"));
        MemberMessage.Sync answer = syncOf(actions);
        assertThat(answer.answer()).isTrue();
        assertThat(answer.buckets()).isEqualTo(request.buckets());
    }

    private static MemberMessage.Sync syncOf(List<MemberAction> actions) {
        return actions.stream().filter(MemberAction.SendTo.class::isInstance).map(action -> ((MemberAction.SendTo) action).message())
                .filter(MemberMessage.Sync.class::isInstance).map(MemberMessage.Sync.class::cast).findFirst().orElseThrow();
    }

    @Test
    void aRestartThatGossipMissedIsFoundByDigests() {
        var network = convergedNetwork(2);
        // Only the member that n7 joins through receives its new incarnation.
        restartUnheard(network);
        assertThat(network.periodsUntil(240, network::hasConverged)).isLessThanOrEqualTo(240);
    }

    /** Restarts n7 while datagrams between it and all members other than n3 are lost. */
    private static void restartUnheard(VirtualNetwork network) {
        network.kill(network.node(7));
        network.isCut = (from, to) -> from.equals(address(7)) && !to.equals(address(3))
                || to.equals(address(7)) && !from.equals(address(3));
        network.start("n7", 50_000, address(7), List.of(address(3)));
        network.run(3);
        network.isCut = (from, to) -> false;
    }

    /** Guards against a restart that costs a message for each member: a leaving member informs some, and they gossip it to the others. */
    @Test
    void aDepartureIsSentToSomeMembersAndReachesAll() {
        var network = convergedNetwork(4);
        network.handle(network.node(9), new MemberEvent.Leave());
        assertThat(network.sent.stream().filter(sent -> sent.message() instanceof MemberMessage.Farewell)).hasSize(32);
        assertThat(network.periodsUntil(30, () -> network.nodes.values().stream().filter(node -> !node.name.equals("n9"))
                .allMatch(node -> node.holds("n9", Standing.LEFT)))).isLessThanOrEqualTo(30);
    }

    @Test
    void invalidDigestsAndBucketsAreIgnored() {
        assertThat(Digest.differingBuckets(Digest.of(List.of()), List.of(1, 2)).isEmpty()).isTrue();
        assertThat(Digest.requestedBuckets(List.of(-1, 64, 3)).stream().boxed().toList()).containsExactly(3);
        assertThat(Digest.requestedBuckets(null).cardinality()).isEqualTo(Digest.BUCKETS);
    }

    /** After a network partition the callers must be able to contact required peers before membership has found them again. */
    @Test
    void requiredPeersAreReturnedWhateverTheirState() {
        var network = VirtualNetwork.of(5, 3, SETTINGS);
        network.kill(network.node(2));
        network.periodsUntil(100, () -> network.allOthersHold("n2", Standing.DEAD));
        Membership membership = network.node(0).membership;
        assertThat(membership.roundTripBoundsUs()).doesNotContainKey("n2");
        assertThat(membership.roundTripBoundsUs(Set.of("n2", "nobody"))).containsKeys("n1", "n2").doesNotContainKey("nobody");
    }
}

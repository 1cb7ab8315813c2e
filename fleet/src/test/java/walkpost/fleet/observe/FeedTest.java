package walkpost.fleet.observe;

import static org.assertj.core.api.Assertions.assertThat;
import static walkpost.fleet.observe.ObserverNetwork.KEY;
import static walkpost.fleet.observe.ObserverNetwork.MILLI_US;
import static walkpost.fleet.observe.ObserverNetwork.SECOND_US;
import static walkpost.fleet.observe.ObserverNetwork.slot;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import walkpost.fleet.FleetException;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.HashTree;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Slot;

class FeedTest {
    private static final ObserveSettings THREE_OBSERVERS = new ObserveSettings(2 * SECOND_US, 5 * SECOND_US, 400 * MILLI_US,
            2_400 * MILLI_US, 500 * MILLI_US, 4 * SECOND_US, 60 * SECOND_US, 3, 60, 24 * 3600 * SECOND_US);

    private Feed feed;
    private long nowUs;
    private final List<FeedAction> actions = new ArrayList<>();

    @BeforeEach
    void make() {
        make(ObserveSettings.defaults());
    }

    private void make(ObserveSettings settings) {
        feed = new Feed(settings, "a", "north", Set.of("a", "b", "c"));
        handle(new FeedEvent.LiveVoters(Set.of("b", "c")));
        handle(new FeedEvent.CaughtUpChanged(true));
    }

    private List<FeedAction> handle(FeedEvent event) {
        actions.clear();
        feed.handle(nowUs, event, actions::add);
        return List.copyOf(actions);
    }

    /** Returns the only message that is sent in reply to a message. */
    private ObserveMessage replyTo(String from, ObserveMessage message) {
        List<FeedAction> sent = handle(new FeedEvent.Received(from, message));
        assertThat(sent).hasSize(1);
        assertThat(((FeedAction.Send) sent.get(0)).to()).isEqualTo(from);
        return ((FeedAction.Send) sent.get(0)).message();
    }

    /** Advances the time and returns the messages to observers meanwhile. */
    private List<FeedAction.Send> run(long forUs) {
        List<FeedAction.Send> sent = new ArrayList<>();
        for (long endUs = nowUs + forUs; nowUs < endUs;) {
            nowUs += 50 * MILLI_US;
            handle(new FeedEvent.Tick()).stream().map(FeedAction.Send.class::cast).filter(send -> send.to().startsWith("o"))
                    .forEach(sent::add);
        }
        return sent;
    }

    private void subscribe(String name) {
        assertThat(replyTo(name, new ObserveMessage.Subscribe(1, "north", true))).isInstanceOf(ObserveMessage.Subscribed.class);
    }

    private void heartbeat(String name) {
        assertThat(replyTo(name, new ObserveMessage.Heartbeat(1, true, 0, 0))).isInstanceOf(ObserveMessage.HeartbeatReply.class);
    }

    @Test
    void fullVoterRefusesSubscriptionsAtOnceWithTheReason() {
        make(THREE_OBSERVERS);
        subscribe("o1");
        subscribe("o2");
        subscribe("o3");
        ObserveMessage fourth = replyTo("o4", new ObserveMessage.Subscribe(7, "north", true));
        assertThat(fourth).isInstanceOfSatisfying(ObserveMessage.SubscriptionRefused.class, refusal -> {
            assertThat(refusal.seq()).isEqualTo(7);
            assertThat(refusal.why()).isEqualTo(ObserveMessage.RefusalReason.FULL);
            assertThat(refusal.retryMs()).isPositive();
        });
        subscribe("o1");
        handle(new FeedEvent.Received("o2", new ObserveMessage.Unsubscribe()));
        subscribe("o4");
    }

    @Test
    void subscriptionsBeyondTheRateGetIncreasingTimesToTryAgain() {
        List<Long> retryTimesMs = new ArrayList<>();
        for (int i = 0; i < 180; i++) {
            if (replyTo("o" + i, new ObserveMessage.Subscribe(1, "", true)) instanceof ObserveMessage.SubscriptionRefused refusal) {
                assertThat(refusal.why()).isEqualTo(ObserveMessage.RefusalReason.TOO_MANY_AT_ONCE);
                retryTimesMs.add(refusal.retryMs());
            }
        }
        assertThat(retryTimesMs).hasSize(120).isSorted();
        assertThat(retryTimesMs.get(0)).isGreaterThanOrEqualTo(1_000);
        assertThat(retryTimesMs.get(119) - retryTimesMs.get(0)).isBetween(1_500L, 2_500L);
    }

    @Test
    void silentObserverIsForgotten() {
        subscribe("o1");
        run(4 * SECOND_US);
        heartbeat("o1");
        run(5 * SECOND_US);
        assertThat(feed.observersByRegion(nowUs)).isEqualTo(Map.of("north", 1));
        run(SECOND_US);
        assertThat(feed.observersByRegion(nowUs)).isEmpty();
        assertThat(replyTo("o1", new ObserveMessage.Heartbeat(5, true, 0, 0)))
                .isInstanceOfSatisfying(ObserveMessage.SubscriptionRefused.class,
                        refusal -> assertThat(refusal.why()).isEqualTo(ObserveMessage.RefusalReason.UNKNOWN));
    }

    @Test
    void changeIsPushedAtOnceAndRepeatedUntilAcknowledged() {
        subscribe("o1");
        subscribe("o2");
        Slot slot = slot(KEY, "x1");
        List<FeedAction> pushed = handle(new FeedEvent.SlotsChanged(List.of(slot)));
        assertThat(pushed).hasSize(2);
        ObserveMessage.Push push = (ObserveMessage.Push) ((FeedAction.Send) pushed.get(0)).message();
        assertThat(push.slots()).containsExactly(slot);
        handle(new FeedEvent.Received("o1", new ObserveMessage.PushAck(push.number())));
        List<FeedAction.Send> again = run(3 * SECOND_US);
        assertThat(again).hasSize(2).allMatch(send -> send.to().equals("o2") && send.message() instanceof ObserveMessage.Push repeated
                && repeated.number() == push.number() && repeated.slots().equals(List.of(slot)));
    }

    @Test
    void heartbeatReplyCarriesNodeHashesOnlyIfTheRootsDiffer() {
        subscribe("o1");
        handle(new FeedEvent.SlotsChanged(List.of(slot(KEY, "x1"))));
        var differing = (ObserveMessage.HeartbeatReply) replyTo("o1", new ObserveMessage.Heartbeat(2, true, 0, 0));
        assertThat(differing.nodes()).hasSize(HashTree.WIDTH);
        var table = new SlotTable();
        table.merge(0, slot(KEY, "x1"));
        var equal = (ObserveMessage.HeartbeatReply) replyTo("o1", new ObserveMessage.Heartbeat(3, true, table.tree().root(), 0));
        assertThat(equal.nodes()).isEmpty();
        assertThat(equal.level()).isTrue();
        handle(new FeedEvent.CaughtUpChanged(false));
        var notCaughtUp = (ObserveMessage.HeartbeatReply) replyTo("o1", new ObserveMessage.Heartbeat(4, true, table.tree().root(), 0));
        assertThat(notCaughtUp.level()).isFalse();
    }

    @Test
    void offersAreAcceptedOnlyFromAReplicaThatIsNotTooOld() {
        subscribe("o1");
        Slot slot = slot(KEY, "x1");
        long halfUs = ObserveSettings.defaults().removalUs() / 2;
        for (long awayUs : new long[] {-1, halfUs + 1, Observer.NEVER_US, Long.MAX_VALUE, Long.MIN_VALUE}) {
            assertThat(handle(new FeedEvent.Received("o1", new ObserveMessage.Offer(awayUs, List.of(slot))))).isEmpty();
        }
        assertThat(handle(new FeedEvent.Received("o1", new ObserveMessage.Offer(halfUs, List.of(slot)))))
                .containsExactly(new FeedAction.OfferSlots(List.of(slot)));
    }

    @Test
    void observerThatOffersAReplacedOrderGetsItsReplacement() {
        subscribe("o1");
        handle(new FeedEvent.SlotsChanged(List.of(slot(KEY, "x1", "x2"))));
        assertThat(replyTo("o1", new ObserveMessage.Offer(0, List.of(slot(KEY, "x1"))))).isInstanceOfSatisfying(
                ObserveMessage.Slots.class, slots -> assertThat(slots.slots()).containsExactly(slot(KEY, "x1", "x2")));
    }

    @Test
    void orderForwardedByTwoObserversIsProposedOnceAndAnsweredToBoth() {
        var forwarded = new ObserveMessage.ForwardOrder(KEY, "x1", "", "1", 1);
        assertThat(handle(new FeedEvent.Received("o1", forwarded))).containsExactly(new FeedAction.Propose(KEY, "x1", "", "1"));
        assertThat(handle(new FeedEvent.Received("o1", forwarded))).isEmpty();
        assertThat(handle(new FeedEvent.Received("o2", forwarded))).isEmpty();
        Order order = slot(KEY, "x1").heads().get(0);
        List<FeedAction> replies = handle(new FeedEvent.Acknowledged("x1", order));
        assertThat(replies).hasSize(2).allMatch(action -> action instanceof FeedAction.Send send
                && send.message() instanceof ObserveMessage.ForwardOrderReply reply && reply.order().equals(order));
    }

    @Test
    void lateCopyOfAForwardedOrderGetsTheSameReplyAndIsNotProposedAgain() {
        var first = new ObserveMessage.ForwardOrder(KEY, "x1", "", "1", 5);
        handle(new FeedEvent.Received("o1", first));
        List<FeedAction> refused = handle(new FeedEvent.Refused("x1", new FleetException.Busy("x1", "x2")));
        assertThat(handle(new FeedEvent.Received("o1", first))).isEqualTo(refused);
        assertThat(handle(new FeedEvent.Received("o1", new ObserveMessage.ForwardOrder(KEY, "x1", "", "1", 4)))).isEqualTo(refused);
        assertThat(handle(new FeedEvent.Received("o1", new ObserveMessage.ForwardOrder(KEY, "x1", "", "1", 6))))
                .containsExactly(new FeedAction.Propose(KEY, "x1", "", "1"));
        Order order = slot(KEY, "x1").heads().get(0);
        List<FeedAction> acknowledged = handle(new FeedEvent.Acknowledged("x1", order));
        assertThat(handle(new FeedEvent.Received("o1", new ObserveMessage.ForwardOrder(KEY, "x1", "", "1", 7)))).isEqualTo(acknowledged);
    }

    @Test
    void uncertainOrderIsNotRefusedWithCertaintyByALaterAttempt() {
        handle(new FeedEvent.Received("o1", new ObserveMessage.ForwardOrder(KEY, "x1", "", "1", 1)));
        handle(new FeedEvent.Refused("x1", new FleetException.Uncertain("x1", List.of("b", "c"))));
        handle(new FeedEvent.Received("o1", new ObserveMessage.ForwardOrder(KEY, "x1", "", "1", 2)));
        List<FeedAction> replies = handle(new FeedEvent.Refused("x1", new FleetException.Overtaken("x1", "x2")));
        assertThat(replies).hasSize(1).allMatch(action -> action instanceof FeedAction.Send send
                && send.message() instanceof ObserveMessage.ForwardOrderReply reply && reply.type().equals("Uncertain")
                && reply.attempt() == 2);
    }

    @Test
    void malformedMessagesNeitherThrowNorChangeAnything() {
        subscribe("o1");
        handle(new FeedEvent.SlotsChanged(List.of(slot(KEY, "x1"))));
        run(2 * SECOND_US);
        heartbeat("o1");
        Map<String, Integer> countsBefore = feed.observersByRegion(nowUs);
        long[] leavesOfOneNode = new long[HashTree.WIDTH];
        for (ObserveMessage message : List.of(
                new ObserveMessage.LeafHashes(-1, new int[] {0}, new long[0]),
                new ObserveMessage.LeafHashes(1, new int[] {0, 1}, leavesOfOneNode),
                new ObserveMessage.LeafHashes(1, new int[] {-1}, leavesOfOneNode),
                new ObserveMessage.LeafHashes(1, new int[] {HashTree.WIDTH}, leavesOfOneNode),
                new ObserveMessage.LeafHashes(1, new int[HashTree.WIDTH + 1], new long[(HashTree.WIDTH + 1) * HashTree.WIDTH]),
                new ObserveMessage.LeafHashes(1, new int[] {Integer.MIN_VALUE}, Arrays.copyOf(leavesOfOneNode, 1)),
                new ObserveMessage.FetchRequest(-1, List.of()),
                new ObserveMessage.Offer(-1, List.of(slot(KEY, "x9"))),
                new ObserveMessage.Offer(0, List.of()),
                new ObserveMessage.Offer(0, List.of(Slot.empty(new Order.Key("placement", "none")))),
                new ObserveMessage.PushAck(Long.MIN_VALUE),
                new ObserveMessage.ReportEntries(List.of(new Entry(new Entry.Key("t", "s", "somebody"), 1, 1, "{}", 0))),
                new ObserveMessage.ReportEntries(List.of(new Entry(new Entry.Key("t", "s", "o1"), 1, 1, "{}", -1))),
                new ObserveMessage.ReportEntries(List.of(new Entry(new Entry.Key("t", "s", "o1"), 1, 1, "{}", Long.MAX_VALUE))),
                new ObserveMessage.ObserverCounts(null, Map.of("north", 7)),
                new ObserveMessage.ObserverCounts("north", Map.of("north", -7)),
                new ObserveMessage.HeartbeatReply(1, true, 0, new long[3], Map.of("x", 1)),
                new ObserveMessage.Subscribed(1, Map.of()),
                new ObserveMessage.SlotDigests(1, -1, -1, new int[0], List.of()),
                new ObserveMessage.ForwardOrderReply("x1", 1, 1, null, null, null, null, false))) {
            assertThat(handle(new FeedEvent.Received("o1", message))).as("%s", message).isEmpty();
            assertThat(handle(new FeedEvent.Received("b", message))).as("%s", message).isEmpty();
        }
        assertThat(feed.observersByRegion(nowUs)).isEqualTo(Map.of("north", 8));
        assertThat(countsBefore).isEqualTo(Map.of("north", 1));
        assertThat(feed.counters()).containsEntry("facts", 0L).containsEntry("slots", 1L).containsEntry("observers", 1L);
    }

    @Test
    void observerMessagesFromVotersAndVoterMessagesFromOthersAreDropped() {
        assertThat(handle(new FeedEvent.Received("b", new ObserveMessage.Subscribe(1, "north", true)))).isEmpty();
        assertThat(handle(new FeedEvent.Received("o1", new ObserveMessage.ObserverCounts("north", Map.of("north", 70))))).isEmpty();
        assertThat(feed.observersByRegion(nowUs)).isEmpty();
    }
}

package walkpost.fleet.observe;

import static org.assertj.core.api.Assertions.assertThat;
import static walkpost.fleet.observe.ObserverNetwork.KEY;
import static walkpost.fleet.observe.ObserverNetwork.MILLI_US;
import static walkpost.fleet.observe.ObserverNetwork.SECOND_US;
import static walkpost.fleet.observe.ObserverNetwork.slot;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import walkpost.fleet.FleetException;
import walkpost.fleet.copy.HashTree;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.ShardMessage;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.copy.SlotMerge;
import walkpost.fleet.member.Life;

class ObserverTest {
    private static final String OBSERVER = "o";

    /** Returns a network of three caught-up voters in two regions, and one observer that is subscribed to two of them. */
    private static ObserverNetwork subscribedObserver() {
        ObserverNetwork network = new ObserverNetwork("a", "b", "c");
        network.addVoter("a", "north");
        network.addVoter("b", "south");
        network.addVoter("c", "south");
        network.addObserver(OBSERVER, "north");
        network.run(8 * SECOND_US);
        assertThat(network.observers.get(OBSERVER).feeds()).hasSize(2);
        assertThat(network.observers.get(OBSERVER).isCaughtUp()).isTrue();
        return network;
    }

    @Test
    void primaryFeedIsTheNearestVoterAndTheOtherIsInAnotherRegion() {
        ObserverNetwork network = new ObserverNetwork("a", "b", "c", "d");
        network.addVoter("a", "north");
        network.addVoter("b", "north");
        network.addVoter("c", "south");
        network.addVoter("d", "south");
        network.oneWayUs.putAll(Map.of("a", 20 * MILLI_US, "b", MILLI_US, "c", 30 * MILLI_US, "d", 40 * MILLI_US));
        for (int i = 0; i < 8; i++) {
            network.addObserver("o" + i, "north");
        }
        // An observer learns the regions from its first feed; if it chose before that, it changes feeds at the next rebalancing.
        network.run(200 * SECOND_US);
        network.observers.forEach((name, observer) -> {
            assertThat(observer.feeds()).as(name).hasSize(2);
            assertThat(observer.feeds().get(0)).as(name).isEqualTo("b");
            assertThat(observer.feeds().get(1)).as(name).isIn("c", "d");
        });
    }

    @Test
    void observersAreSpreadEvenlyOverVotersAtTheSameDistance() {
        ObserverNetwork network = new ObserverNetwork("a", "b", "c");
        for (String voter : List.of("a", "b", "c")) {
            network.addVoter(voter, "");
        }
        for (int i = 0; i < 240; i++) {
            network.addObserver("o" + i, "");
        }
        network.run(40 * SECOND_US);
        Map<String, Integer> observersByPrimary = new TreeMap<>();
        network.observers.values().forEach(observer -> observersByPrimary.merge(observer.feeds().get(0), 1, Integer::sum));
        assertThat(observersByPrimary).hasSize(3);
        assertThat(observersByPrimary.values()).allMatch(count -> count > 55 && count < 105);
        assertThat(network.feeds.values()).allMatch(feed -> feed.counters().get("observers") > 120);
        assertThat(network.feeds.get("a").observersByRegion(network.nowUs)).isEqualTo(Map.of("", 240));
    }

    @Test
    void observerWaitsWithJitterBeforeItAsksARefusingVoterAgain() {
        TreeSet<Long> waitsUs = new TreeSet<>();
        for (int i = 0; i < 10; i++) {
            var observer = new Observer(ObserveSettings.defaults(), new Life("o" + i, 1), "", Set.of("a"), i);
            List<ObserveMessage> sent = new ArrayList<>();
            long refusedUs = -1;
            observer.handle(0, new ObserverEvent.LiveVoters(Map.of("a", 1_000L)), action -> { });
            for (long nowUs = 0; nowUs < 30 * SECOND_US; nowUs += 50 * MILLI_US) {
                sent.clear();
                observer.handle(nowUs, new ObserverEvent.Tick(), action -> addMessage(action, sent));
                for (ObserveMessage message : List.copyOf(sent)) {
                    if (message instanceof ObserveMessage.Heartbeat heartbeat) {
                        observer.handle(nowUs, refusal(heartbeat.seq(), ObserveMessage.RefusalReason.UNKNOWN, 0),
                                action -> addMessage(action, sent));
                    } else if (message instanceof ObserveMessage.Subscribe request && refusedUs < 0) {
                        refusedUs = nowUs;
                        observer.handle(nowUs, refusal(request.seq(), ObserveMessage.RefusalReason.FULL, 3_000),
                                action -> addMessage(action, sent));
                    } else if (message instanceof ObserveMessage.Subscribe) {
                        waitsUs.add(nowUs - refusedUs);
                        nowUs = 30 * SECOND_US;
                    }
                }
            }
        }
        assertThat(waitsUs.first()).isGreaterThanOrEqualTo(3 * SECOND_US);
        assertThat(waitsUs.last()).isLessThan(13 * SECOND_US);
        assertThat(waitsUs).as("jitter, so that the observers do not ask at the same moment").hasSizeGreaterThan(5);
    }

    @Test
    void probesBackOffUpToABoundIfNoVoterAnswers() {
        ObserverNetwork network = new ObserverNetwork("a", "b");
        network.addObserver(OBSERVER, "");
        network.run(120 * SECOND_US);
        List<Long> probeTimesUs = network.sent.stream().filter(message -> message.to().equals("a"))
                .map(ObserverNetwork.Sent::atUs).toList();
        assertThat(probeTimesUs).hasSizeBetween(12, 40);
        for (int i = 1; i < probeTimesUs.size(); i++) {
            assertThat(probeTimesUs.get(i) - probeTimesUs.get(i - 1)).isBetween(500 * MILLI_US, 9 * SECOND_US);
        }
        assertThat(probeTimesUs.get(probeTimesUs.size() - 1) - probeTimesUs.get(probeTimesUs.size() - 2)).as("the last wait")
                .isGreaterThan(4 * SECOND_US);
    }

    @Test
    void silentFeedIsReplacedByAnotherVoter() {
        ObserverNetwork network = subscribedObserver();
        String silent = network.observers.get(OBSERVER).feeds().get(0);
        String other = network.observers.get(OBSERVER).feeds().get(1);
        network.isLost = message -> message.from().equals(silent) || message.to().equals(silent);
        network.run(9 * SECOND_US);
        assertThat(network.observers.get(OBSERVER).feeds()).hasSize(2).contains(other).doesNotContain(silent);
        assertThat(network.actions(OBSERVER, ObserverAction.CaughtUpChanged.class)).as("caught up all the time").hasSize(1);
    }

    @Test
    void olderSlotNeverRevertsANewerOne() {
        ObserverNetwork network = subscribedObserver();
        network.changeSlot(slot(KEY, "o1", "o2"));
        network.run(SECOND_US);
        Slot old = slot(KEY, "o1");
        network.at(OBSERVER, received("a", new ObserveMessage.Push(999, 0, List.of(old))));
        network.at(OBSERVER, received("b", new ObserveMessage.Slots(0, 0, List.of(old))));
        network.changeSlot(old, "c");
        network.run(5 * SECOND_US);
        assertThat(network.publishedPayloads(OBSERVER, KEY)).containsExactly("\"o2\"");
        assertThat(network.observers.get(OBSERVER).effectiveOrders().get(KEY).payload()).isEqualTo("\"o2\"");
    }

    @Test
    void nothingIsPublishedFromVotersThatAreNotCaughtUp() {
        ObserverNetwork network = new ObserverNetwork("a", "b");
        network.addVoter("a", "");
        network.addVoter("b", "");
        network.at("a", new FeedEvent.CaughtUpChanged(false));
        network.at("b", new FeedEvent.CaughtUpChanged(false));
        network.changeSlot(slot(KEY, "o1"));
        network.addObserver(OBSERVER, "");
        network.run(10 * SECOND_US);
        assertThat(network.observers.get(OBSERVER).feeds()).hasSize(2);
        assertThat(network.observers.get(OBSERVER).isCaughtUp()).isFalse();
        assertThat(network.observers.get(OBSERVER).controlAgeUs(network.nowUs)).isEqualTo(Observer.NEVER_US);
        assertThat(network.actions.get(OBSERVER)).isEmpty();
    }

    @Test
    void publishedOrdersStayInForceWithTheirAgeWhileNoVoterIsInReach() {
        ObserverNetwork network = subscribedObserver();
        network.changeSlot(slot(KEY, "o1"));
        network.run(3 * SECOND_US);
        int actionCount = network.actions.get(OBSERVER).size();
        network.isLost = message -> true;
        network.run(60 * SECOND_US);
        Observer observer = network.observers.get(OBSERVER);
        assertThat(network.actions.get(OBSERVER).subList(actionCount, network.actions.get(OBSERVER).size()))
                .contains(new ObserverAction.CaughtUpChanged(false)).noneMatch(ObserverAction.EffectiveOrderChanged.class::isInstance);
        assertThat(observer.isCaughtUp()).isFalse();
        assertThat(observer.effectiveOrders().get(KEY).payload()).isEqualTo("\"o1\"");
        assertThat(observer.controlAgeUs(network.nowUs)).isBetween(60 * SECOND_US, 63 * SECOND_US);
        network.isLost = message -> false;
        network.run(12 * SECOND_US);
        assertThat(observer.isCaughtUp()).isTrue();
        assertThat(network.publishedPayloads(OBSERVER, KEY)).containsExactly("\"o1\"");
    }

    @Test
    void lostPushIsFoundByTheNextHeartbeat() {
        ObserverNetwork network = subscribedObserver();
        network.isLost = message -> message.message() instanceof ObserveMessage.Push;
        network.changeSlot(slot(KEY, "o1"));
        network.run(2_200 * MILLI_US);
        assertThat(network.messages(ObserveMessage.Push.class)).isNotEmpty();
        assertThat(network.publishedPayloads(OBSERVER, KEY)).containsExactly("\"o1\"");
    }

    @Test
    void replicaThatWasNeverInSyncIsReplacedByACaughtUpVoters() {
        ObserverNetwork network = new ObserverNetwork("a", "b");
        network.addVoter("a", "");
        network.addVoter("b", "");
        network.at("a", new FeedEvent.CaughtUpChanged(false));
        network.at("b", new FeedEvent.CaughtUpChanged(false));
        network.addObserver(OBSERVER, "");
        network.run(4 * SECOND_US);
        // The voters push these orders and then lose them; no voter would accept them from a replica that was never in sync.
        Order.Key other = new Order.Key("placement", "l2");
        network.changeSlot(slot(KEY, "o1"));
        network.changeSlot(slot(other, "o2", "o3"));
        network.run(SECOND_US);
        network.changeSlot(Slot.empty(KEY));
        network.changeSlot(Slot.empty(other));
        network.changeSlot(slot(other, "o4"));
        network.at("a", new FeedEvent.CaughtUpChanged(true));
        network.at("b", new FeedEvent.CaughtUpChanged(true));
        network.run(6 * SECOND_US);
        assertThat(network.observers.get(OBSERVER).isCaughtUp()).isTrue();
        assertThat(network.publishedPayloads(OBSERVER, KEY)).isEmpty();
        assertThat(network.publishedPayloads(OBSERVER, other)).containsExactly("\"o4\"");
    }

    @Test
    void removalThatTheVotersLostIsOfferedIfTheRemovedOrderIsInForceAgain() {
        ObserverNetwork network = subscribedObserver();
        Slot inForce = slot(KEY, "o1");
        Slot removed = SlotMerge.withOrder(inForce, new Order(KEY, "o2", 2, List.of("o1"), null, "\"o1\"", new Life("a", 1)));
        network.changeSlot(removed);
        network.run(SECOND_US);
        network.changeSlot(Slot.empty(KEY));
        network.changeSlot(inForce);
        network.run(3 * SECOND_US);
        assertThat(network.feedActions.get("a")).contains(new FeedAction.OfferSlots(List.of(removed)));
    }

    @Test
    void comparisonThatChangesNothingIsNotRepeatedAtOnce() {
        ObserverNetwork network = subscribedObserver();
        // The observer holds an order that the voters' shards do not accept, for example because they are full.
        network.isLost = message -> message.message() instanceof ObserveMessage.PushAck;
        network.at(OBSERVER, received("a", new ObserveMessage.Push(1, 0, List.of(slot(KEY, "o1")))));
        int before = network.messages(ObserveMessage.Heartbeat.class).size();
        network.run(10 * SECOND_US);
        assertThat(network.messages(ObserveMessage.Offer.class)).isNotEmpty();
        assertThat(network.messages(ObserveMessage.Heartbeat.class).size() - before).isLessThan(20);
    }

    @Test
    void refusalIsPassedOnOnlyIfNoAskedVoterMayStillCarryOutTheOrder() {
        ObserverNetwork network = subscribedObserver();
        List<String> feeds = network.observers.get(OBSERVER).feeds();
        network.isLost = message -> message.message() instanceof ObserveMessage.ForwardOrderReply && message.from().equals(feeds.get(0));
        network.at(OBSERVER, new ObserverEvent.Propose(KEY, "o1", "", "1"));
        network.run(1_000 * MILLI_US);
        assertThat(network.feedActions.get(feeds.get(0))).hasSize(1);
        network.at(feeds.get(1), new FeedEvent.Refused("o1", new FleetException.Overtaken("o1", "o9")));
        network.run(100 * MILLI_US);
        assertThat(network.actions(OBSERVER, ObserverAction.Refused.class)).as("the first voter has not replied").isEmpty();
        network.run(2 * SECOND_US);
        assertThat(network.actions(OBSERVER, ObserverAction.Refused.class)).hasSize(1).allMatch(
                refused -> refused.cause() instanceof FleetException.Uncertain && refused.cause().getMessage().contains(feeds.get(0)));
    }

    @Test
    void restartedVoterCannotRefuseForItsFormerLife() {
        ObserverNetwork network = subscribedObserver();
        String first = network.observers.get(OBSERVER).feeds().get(0);
        network.isLost = message -> message.message() instanceof ObserveMessage.ForwardOrderReply;
        network.at(OBSERVER, new ObserverEvent.Propose(KEY, "o1", "", "1"));
        network.run(100 * MILLI_US);
        assertThat(network.feedActions.get(first)).hasSize(1);
        network.addVoter(first, "north");
        network.isLost = message -> message.message() instanceof ObserveMessage.ForwardOrder && !message.to().equals(first);
        network.run(500 * MILLI_US);
        network.at(first, new FeedEvent.Refused("o1", new FleetException.Overtaken("o1", "o9")));
        network.run(3 * SECOND_US);
        assertThat(network.actions(OBSERVER, ObserverAction.Refused.class)).hasSize(1)
                .allMatch(refused -> refused.cause() instanceof FleetException.Uncertain);
    }

    @Test
    void refusalByAllAskedVotersIsPassedOnAtOnceWithItsType() {
        ObserverNetwork network = subscribedObserver();
        String first = network.observers.get(OBSERVER).feeds().get(0);
        network.at(OBSERVER, new ObserverEvent.Propose(KEY, "o1", "", "1"));
        network.run(10 * MILLI_US);
        network.at(first, new FeedEvent.Refused("o1", new FleetException.Overtaken("o1", "o9")));
        network.run(10 * MILLI_US);
        assertThat(network.actions(OBSERVER, ObserverAction.Refused.class)).hasSize(1).allMatch(refused -> refused.id().equals("o1")
                && refused.cause() instanceof FleetException.FromVoter && refused.cause().getMessage().contains("Overtaken"));
    }

    @Test
    void orderIsForwardedToAnotherVoterIfTheFirstIsSilent() {
        ObserverNetwork network = subscribedObserver();
        List<String> feeds = network.observers.get(OBSERVER).feeds();
        network.isLost = message -> message.to().equals(feeds.get(0));
        network.at(OBSERVER, new ObserverEvent.Propose(KEY, "o1", "", "1"));
        network.run(900 * MILLI_US);
        assertThat(network.feedActions.get(feeds.get(1))).containsExactly(new FeedAction.Propose(KEY, "o1", "", "1"));
        Order order = slot(KEY, "o1").heads().get(0);
        network.at(feeds.get(1), new FeedEvent.Acknowledged("o1", order));
        network.run(100 * MILLI_US);
        assertThat(network.actions(OBSERVER, ObserverAction.Acknowledged.class))
                .containsExactly(new ObserverAction.Acknowledged("o1", order));
        network.run(5 * SECOND_US);
        assertThat(network.actions(OBSERVER, ObserverAction.Refused.class)).isEmpty();
    }

    @Test
    void orderThatReachesNoVoterIsRefused() {
        ObserverNetwork network = new ObserverNetwork("a");
        var observer = new Observer(ObserveSettings.defaults(), new Life(OBSERVER, 1), "", Set.of("a"), 1);
        List<ObserverAction> actions = new ArrayList<>();
        observer.handle(0, new ObserverEvent.Propose(KEY, "o1", "", "1"), actions::add);
        observer.handle(network.settings.forwardTimeoutUs(), new ObserverEvent.Tick(), actions::add);
        assertThat(actions).hasSize(1).first().isInstanceOfSatisfying(ObserverAction.Refused.class,
                refused -> assertThat(refused.cause()).isInstanceOf(FleetException.NoVoter.class));
    }

    @Test
    void malformedMessagesNeitherThrowNorChangeAnything() {
        ObserverNetwork network = subscribedObserver();
        network.changeSlot(slot(KEY, "o1"));
        network.run(3 * SECOND_US);
        var before = network.observers.get(OBSERVER).effectiveOrders();
        int actionCount = network.actions.get(OBSERVER).size();
        ShardMessage.SlotDigest digest = new ShardMessage.SlotDigest(KEY, 1);
        for (long seq = -2; seq < 40; seq++) {
            for (int length : new int[] {1, 15, 17, 300}) {
                for (ObserveMessage message : List.of(
                        new ObserveMessage.HeartbeatReply(seq, true, -5, new long[length], Map.of()),
                        new ObserveMessage.SlotDigests(seq, -1, -1, new int[] {-1, 256, Integer.MAX_VALUE}, List.of(digest)),
                        new ObserveMessage.SlotDigests(seq, 3, 2, new int[length], List.of()),
                        new ObserveMessage.SlotDigests(seq, Integer.MAX_VALUE - 1, Integer.MAX_VALUE, new int[length], List.of()),
                        new ObserveMessage.SlotDigests(seq, 0, 0, new int[0], List.of()),
                        new ObserveMessage.SubscriptionRefused(seq + 1_000, ObserveMessage.RefusalReason.UNKNOWN, Long.MIN_VALUE),
                        new ObserveMessage.Subscribed(seq + 1_000, Map.of()),
                        new ObserveMessage.ForwardOrderReply("none", -1, -1, null, null, null, null, true),
                        new ObserveMessage.Slots(seq, -1, List.of()),
                        new ObserveMessage.PushAck(seq),
                        new ObserveMessage.CoverageReply(seq, -1, -1, List.of()))) {
                    network.at(OBSERVER, received("a", message));
                    network.at(OBSERVER, received("b", message));
                    network.at(OBSERVER, received("nobody", message));
                }
            }
        }
        network.at(OBSERVER, received("nobody", new ObserveMessage.Push(1, 0, List.of(slot(KEY, "o1", "o2")))));
        assertThat(network.observers.get(OBSERVER).effectiveOrders()).isEqualTo(before);
        assertThat(network.actions.get(OBSERVER)).hasSize(actionCount);
        assertThat(network.observers.get(OBSERVER).feeds()).hasSize(2);
        network.changeSlot(slot(KEY, "o1", "o3"));
        network.run(6 * SECOND_US);
        assertThat(network.publishedPayloads(OBSERVER, KEY)).containsExactly("\"o1\"", "\"o3\"");
        assertThat(network.observers.get(OBSERVER).isCaughtUp()).isTrue();
    }

    @Test
    void malformedRepliesToOwnRequestsNeitherThrowNorChangeAnything() {
        ObserverNetwork network = subscribedObserver();
        network.isLost = message -> message.message() instanceof ObserveMessage.Push
                || message.message() instanceof ObserveMessage.HeartbeatReply;
        network.changeSlot(slot(KEY, "o1"));
        network.run(2_200 * MILLI_US);
        for (ObserverNetwork.Sent sent : List.copyOf(network.sent)) {
            if (sent.message() instanceof ObserveMessage.Heartbeat request) {
                for (int length : new int[] {1, HashTree.WIDTH - 1, HashTree.WIDTH + 1}) {
                    network.at(OBSERVER, received(sent.to(),
                            new ObserveMessage.HeartbeatReply(request.seq(), true, Long.MIN_VALUE, new long[length], Map.of())));
                }
            }
        }
        assertThat(network.publishedPayloads(OBSERVER, KEY)).isEmpty();
        network.isLost = message -> message.message() instanceof ObserveMessage.SlotDigests;
        network.run(3 * SECOND_US);
        for (ObserverNetwork.Sent sent : List.copyOf(network.sent)) {
            if (sent.message() instanceof ObserveMessage.LeafHashes request) {
                for (int[] part : new int[][] {{-1, 1}, {1, 1}, {0, -1}, {Integer.MAX_VALUE - 1, Integer.MAX_VALUE}}) {
                    network.at(OBSERVER, received(sent.to(), new ObserveMessage.SlotDigests(request.seq(), part[0], part[1],
                            new int[] {-7, 999}, List.of(new ShardMessage.SlotDigest(KEY, 0)))));
                }
            }
        }
        assertThat(network.messages(ObserveMessage.FetchRequest.class)).isEmpty();
        network.isLost = message -> false;
        network.run(4 * SECOND_US);
        assertThat(network.publishedPayloads(OBSERVER, KEY)).containsExactly("\"o1\"");
    }

    @Test
    void digestPartOfAnImpossibleCountCostsNoMemory() {
        ObserverNetwork network = subscribedObserver();
        network.isLost = message -> message.message() instanceof ObserveMessage.Push
                || message.message() instanceof ObserveMessage.SlotDigests;
        network.changeSlot(slot(KEY, "o1"));
        network.run(2_500 * MILLI_US);
        var memory = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = memory.getCurrentThreadAllocatedBytes();
        for (ObserverNetwork.Sent sent : List.copyOf(network.sent)) {
            if (sent.message() instanceof ObserveMessage.LeafHashes request) {
                network.at(OBSERVER, received(sent.to(),
                        new ObserveMessage.SlotDigests(request.seq(), Integer.MAX_VALUE - 1, Integer.MAX_VALUE, new int[0], List.of())));
            }
        }
        assertThat(network.messages(ObserveMessage.LeafHashes.class)).isNotEmpty();
        assertThat(memory.getCurrentThreadAllocatedBytes() - before).isLessThan(16 << 20);
    }

    private static ObserverEvent received(String from, ObserveMessage message) {
        return new ObserverEvent.Received(from, message);
    }

    private static ObserverEvent refusal(long seq, ObserveMessage.RefusalReason reason, long retryMs) {
        return received("a", new ObserveMessage.SubscriptionRefused(seq, reason, retryMs));
    }

    private static void addMessage(ObserverAction action, List<ObserveMessage> messages) {
        if (action instanceof ObserverAction.Send send) {
            messages.add(send.message());
        }
    }
}

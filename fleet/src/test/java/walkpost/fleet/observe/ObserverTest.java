package walkpost.fleet.observe;

import static org.assertj.core.api.Assertions.assertThat;

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
    private static final String O = "o";

    /** Three level voters in two regions and one observer that has joined two of them. */
    private static World joined() {
        World world = new World("a", "b", "c");
        world.voter("a", "north");
        world.voter("b", "south");
        world.voter("c", "south");
        world.observer(O, "north");
        world.run(8 * World.S);
        assertThat(world.observers.get(O).feeds()).hasSize(2);
        assertThat(world.observers.get(O).isCaughtUp()).isTrue();
        return world;
    }

    @Test
    void nearestVoterIsFirstAndTheOtherInAnotherRegion() {
        World world = new World("a", "b", "c", "d");
        world.voter("a", "north");
        world.voter("b", "north");
        world.voter("c", "south");
        world.voter("d", "south");
        world.wayUs.putAll(Map.of("a", 20 * World.MS, "b", World.MS, "c", 30 * World.MS, "d", 40 * World.MS));
        for (int i = 0; i < 8; i++) {
            world.observer("o" + i, "north");
        }
        // Regions are learnt from the first voter: whoever chose before has changed with the second look.
        world.run(200 * World.S);
        world.observers.forEach((name, observer) -> {
            assertThat(observer.feeds()).as(name).hasSize(2);
            assertThat(observer.feeds().get(0)).as(name).isEqualTo("b");
            assertThat(observer.feeds().get(1)).as(name).isIn("c", "d");
        });
    }

    @Test
    void observersAreSpreadEvenlyByTheirNames() {
        World world = new World("a", "b", "c");
        for (String voter : List.of("a", "b", "c")) {
            world.voter(voter, "");
        }
        for (int i = 0; i < 240; i++) {
            world.observer("o" + i, "");
        }
        world.run(40 * World.S);
        Map<String, Integer> first = new TreeMap<>();
        world.observers.values().forEach(observer -> first.merge(observer.feeds().get(0), 1, Integer::sum));
        assertThat(first).hasSize(3);
        assertThat(first.values()).allMatch(count -> count > 55 && count < 105);
        assertThat(world.feeds.values()).allMatch(feed -> feed.figures().get("observers") > 120);
        assertThat(world.feeds.get("a").lives(world.nowUs)).isEqualTo(Map.of("", 240));
    }

    @Test
    void voterThatRefusesIsLeftAloneForAsLongAsItSaysAndADrawnTimeMore() {
        TreeSet<Long> waits = new TreeSet<>();
        for (int i = 0; i < 10; i++) {
            var observer = new Observer(ObserveSettings.defaults(), new Life("o" + i, 1), "", Set.of("a"), i);
            List<ObserveMessage> sent = new ArrayList<>();
            long refusedUs = -1;
            observer.handle(0, new ObserverEvent.Voters(Map.of("a", 1_000L)), action -> { });
            for (long nowUs = 0; nowUs < 30 * World.S; nowUs += 50 * World.MS) {
                sent.clear();
                observer.handle(nowUs, new ObserverEvent.Tick(), action -> add(action, sent));
                for (ObserveMessage message : List.copyOf(sent)) {
                    if (message instanceof ObserveMessage.Beat beat) {
                        observer.handle(nowUs, received("a", new ObserveMessage.Later(beat.seq(), ObserveMessage.Reason.UNKNOWN, 0)),
                                action -> add(action, sent));
                    } else if (message instanceof ObserveMessage.Join join && refusedUs < 0) {
                        refusedUs = nowUs;
                        observer.handle(nowUs, received("a", new ObserveMessage.Later(join.seq(), ObserveMessage.Reason.FULL, 3_000)),
                                action -> add(action, sent));
                    } else if (message instanceof ObserveMessage.Join) {
                        waits.add(nowUs - refusedUs);
                        nowUs = 30 * World.S;
                    }
                }
            }
        }
        assertThat(waits.first()).isGreaterThanOrEqualTo(3 * World.S);
        assertThat(waits.last()).isLessThan(13 * World.S);
        assertThat(waits).as("drawn, so that they do not come together").hasSizeGreaterThan(5);
    }

    @Test
    void whereNobodyAnswersProbesGetRarerUpToABound() {
        World world = new World("a", "b");
        world.observer(O, "");
        world.run(120 * World.S);
        List<Long> at = world.sent.stream().filter(message -> message.to().equals("a")).map(World.Sent::atUs).toList();
        assertThat(at).hasSizeBetween(12, 40);
        for (int i = 1; i < at.size(); i++) {
            assertThat(at.get(i) - at.get(i - 1)).isBetween(500 * World.MS, 9 * World.S);
        }
        assertThat(at.get(at.size() - 1) - at.get(at.size() - 2)).as("the last wait").isGreaterThan(4 * World.S);
    }

    @Test
    void silentVoterIsGivenUpForAnotherOne() {
        World world = joined();
        String silent = world.observers.get(O).feeds().get(0);
        String stays = world.observers.get(O).feeds().get(1);
        world.lost = message -> message.from().equals(silent) || message.to().equals(silent);
        world.run(9 * World.S);
        assertThat(world.observers.get(O).feeds()).hasSize(2).contains(stays).doesNotContain(silent);
        assertThat(world.told(O, ObserverAction.CaughtUpChanged.class)).as("level all the time").hasSize(1);
    }

    @Test
    void olderSlotChangesNothingWhoeverSendsIt() {
        World world = joined();
        world.change(World.slot(World.KEY, "o1", "o2"));
        world.run(World.S);
        Slot old = World.slot(World.KEY, "o1");
        world.at(O, received("a", new ObserveMessage.Push(999, 0, List.of(old))));
        world.at(O, received("b", new ObserveMessage.Slots(0, 0, List.of(old))));
        world.change(old, "c");
        world.run(5 * World.S);
        assertThat(world.acted(O, World.KEY)).containsExactly("\"o2\"");
        assertThat(world.observers.get(O).effectiveOrders().get(World.KEY).payload()).isEqualTo("\"o2\"");
    }

    @Test
    void voterThatIsNotLevelTellsNothingOfTheFleet() {
        World world = new World("a", "b");
        world.voter("a", "");
        world.voter("b", "");
        world.at("a", new FeedEvent.CaughtUpChanged(false));
        world.at("b", new FeedEvent.CaughtUpChanged(false));
        world.change(World.slot(World.KEY, "o1"));
        world.observer(O, "");
        world.run(10 * World.S);
        assertThat(world.observers.get(O).feeds()).hasSize(2);
        assertThat(world.observers.get(O).isCaughtUp()).isFalse();
        assertThat(world.observers.get(O).controlAgeUs(world.nowUs)).isEqualTo(Observer.NEVER_US);
        assertThat(world.told.get(O)).isEmpty();
    }

    @Test
    void whatStoodGoesOnWhereControlIsGoneAndItsAgeIsTold() {
        World world = joined();
        world.change(World.slot(World.KEY, "o1"));
        world.run(3 * World.S);
        int told = world.told.get(O).size();
        world.lost = message -> true;
        world.run(60 * World.S);
        Observer observer = world.observers.get(O);
        assertThat(world.told.get(O).subList(told, world.told.get(O).size()))
                .contains(new ObserverAction.CaughtUpChanged(false)).noneMatch(ObserverAction.EffectiveOrderChanged.class::isInstance);
        assertThat(observer.isCaughtUp()).isFalse();
        assertThat(observer.effectiveOrders().get(World.KEY).payload()).isEqualTo("\"o1\"");
        assertThat(observer.controlAgeUs(world.nowUs)).isBetween(60 * World.S, 63 * World.S);
        world.lost = message -> false;
        world.run(12 * World.S);
        assertThat(observer.isCaughtUp()).isTrue();
        assertThat(world.acted(O, World.KEY)).containsExactly("\"o1\"");
    }

    @Test
    void pushThatGotLostIsFoundByTheNextBeat() {
        World world = joined();
        world.lost = message -> message.message() instanceof ObserveMessage.Push;
        world.change(World.slot(World.KEY, "o1"));
        world.run(2_200 * World.MS);
        assertThat(world.messages(ObserveMessage.Push.class)).isNotEmpty();
        assertThat(world.acted(O, World.KEY)).containsExactly("\"o1\"");
    }

    @Test
    void copyThatNeverWasLevelGivesWayToALevelVoters() {
        World world = new World("a", "b");
        world.voter("a", "");
        world.voter("b", "");
        world.at("a", new FeedEvent.CaughtUpChanged(false));
        world.at("b", new FeedEvent.CaughtUpChanged(false));
        world.observer(O, "");
        world.run(4 * World.S);
        // Pushed by voters that then lose all they held: nobody would take it from a copy that never was the fleet's.
        Order.Key other = new Order.Key("placement", "l2");
        world.change(World.slot(World.KEY, "o1"));
        world.change(World.slot(other, "o2", "o3"));
        world.run(World.S);
        world.change(Slot.empty(World.KEY));
        world.change(Slot.empty(other));
        world.change(World.slot(other, "o4"));
        world.at("a", new FeedEvent.CaughtUpChanged(true));
        world.at("b", new FeedEvent.CaughtUpChanged(true));
        world.run(6 * World.S);
        assertThat(world.observers.get(O).isCaughtUp()).isTrue();
        assertThat(world.acted(O, World.KEY)).isEmpty();
        assertThat(world.acted(O, other)).containsExactly("\"o4\"");
    }

    @Test
    void removalThatVotersLostIsOfferedWhereWhatItEndedStandsAgain() {
        World world = joined();
        Slot stood = World.slot(World.KEY, "o1");
        Slot removed = SlotMerge.withOrder(stood, new Order(World.KEY, "o2", 2, List.of("o1"), null, "\"o1\"", new Life("a", 1)));
        world.change(removed);
        world.run(World.S);
        world.change(Slot.empty(World.KEY));
        world.change(stood);
        world.run(3 * World.S);
        assertThat(world.asked.get("a")).contains(new FeedAction.Offer(List.of(removed)));
    }

    @Test
    void comparisonThatChangesNothingIsNotBegunAnewAtOnce() {
        World world = joined();
        // What only the observer holds, and the voters' shards do not take: they have no room, say.
        world.lost = message -> message.message() instanceof ObserveMessage.Taken;
        world.at(O, received("a", new ObserveMessage.Push(1, 0, List.of(World.slot(World.KEY, "o1")))));
        int before = world.messages(ObserveMessage.Beat.class).size();
        world.run(10 * World.S);
        assertThat(world.messages(ObserveMessage.Offer.class)).isNotEmpty();
        assertThat(world.messages(ObserveMessage.Beat.class).size() - before).isLessThan(20);
    }

    @Test
    void refusalIsPassedOnOnlyWhenNoVoterThatWasAskedMayStillCarryItOut() {
        World world = joined();
        List<String> feeds = world.observers.get(O).feeds();
        world.lost = message -> message.message() instanceof ObserveMessage.Answer && message.from().equals(feeds.get(0));
        world.at(O, new ObserverEvent.Propose(World.KEY, "o1", "", "1"));
        world.run(1_000 * World.MS);
        assertThat(world.asked.get(feeds.get(0))).hasSize(1);
        world.at(feeds.get(1), new FeedEvent.Refused("o1", new FleetException.Overtaken("o1", "o9")));
        world.run(100 * World.MS);
        assertThat(world.told(O, ObserverAction.Refused.class)).as("the first one has not answered").isEmpty();
        world.run(2 * World.S);
        assertThat(world.told(O, ObserverAction.Refused.class)).hasSize(1).allMatch(
                refused -> refused.why() instanceof FleetException.Uncertain && refused.why().getMessage().contains(feeds.get(0)));
    }

    @Test
    void voterThatBeganAnewMeanwhileCannotSpeakForItsFormerLife() {
        World world = joined();
        String first = world.observers.get(O).feeds().get(0);
        world.lost = message -> message.message() instanceof ObserveMessage.Answer;
        world.at(O, new ObserverEvent.Propose(World.KEY, "o1", "", "1"));
        world.run(100 * World.MS);
        assertThat(world.asked.get(first)).hasSize(1);
        world.voter(first, "north");
        world.lost = message -> message.message() instanceof ObserveMessage.Call && !message.to().equals(first);
        world.run(500 * World.MS);
        world.at(first, new FeedEvent.Refused("o1", new FleetException.Overtaken("o1", "o9")));
        world.run(3 * World.S);
        assertThat(world.told(O, ObserverAction.Refused.class)).hasSize(1)
                .allMatch(refused -> refused.why() instanceof FleetException.Uncertain);
    }

    @Test
    void refusalOfAllWhoWereAskedIsPassedOnAtOnceWithItsType() {
        World world = joined();
        String first = world.observers.get(O).feeds().get(0);
        world.at(O, new ObserverEvent.Propose(World.KEY, "o1", "", "1"));
        world.run(10 * World.MS);
        world.at(first, new FeedEvent.Refused("o1", new FleetException.Overtaken("o1", "o9")));
        world.run(10 * World.MS);
        assertThat(world.told(O, ObserverAction.Refused.class)).hasSize(1).allMatch(refused -> refused.id().equals("o1")
                && refused.why() instanceof FleetException.FromVoter && refused.why().getMessage().contains("Overtaken"));
    }

    @Test
    void orderGoesOverAnotherVoterWhereTheFirstIsSilent() {
        World world = joined();
        List<String> feeds = world.observers.get(O).feeds();
        world.lost = message -> message.to().equals(feeds.get(0));
        world.at(O, new ObserverEvent.Propose(World.KEY, "o1", "", "1"));
        world.run(900 * World.MS);
        assertThat(world.asked.get(feeds.get(1))).containsExactly(new FeedAction.Propose(World.KEY, "o1", "", "1"));
        Order order = World.slot(World.KEY, "o1").heads().get(0);
        world.at(feeds.get(1), new FeedEvent.Acknowledged("o1", order));
        world.run(100 * World.MS);
        assertThat(world.told(O, ObserverAction.Acknowledged.class)).containsExactly(new ObserverAction.Acknowledged("o1", order));
        world.run(5 * World.S);
        assertThat(world.told(O, ObserverAction.Refused.class)).isEmpty();
    }

    @Test
    void orderThatReachesNoVoterIsRefused() {
        World world = new World("a");
        var observer = new Observer(ObserveSettings.defaults(), new Life(O, 1), "", Set.of("a"), 1);
        List<ObserverAction> told = new ArrayList<>();
        observer.handle(0, new ObserverEvent.Propose(World.KEY, "o1", "", "1"), told::add);
        observer.handle(world.settings.callUs(), new ObserverEvent.Tick(), told::add);
        assertThat(told).hasSize(1).first().isInstanceOfSatisfying(ObserverAction.Refused.class,
                refused -> assertThat(refused.why()).isInstanceOf(FleetException.NoVoter.class));
    }

    @Test
    void garbledMessagesNeitherThrowNorChangeAnything() {
        World world = joined();
        world.change(World.slot(World.KEY, "o1"));
        world.run(3 * World.S);
        var before = world.observers.get(O).effectiveOrders();
        int told = world.told.get(O).size();
        ShardMessage.SlotDigest stamp = new ShardMessage.SlotDigest(World.KEY, 1);
        for (long seq = -2; seq < 40; seq++) {
            for (int length : new int[] {1, 15, 17, 300}) {
                for (ObserveMessage message : List.of(
                        new ObserveMessage.Echo(seq, true, -5, new long[length], Map.of()),
                        new ObserveMessage.Stamps(seq, -1, -1, new int[] {-1, 256, Integer.MAX_VALUE}, List.of(stamp)),
                        new ObserveMessage.Stamps(seq, 3, 2, new int[length], List.of()),
                        new ObserveMessage.Stamps(seq, Integer.MAX_VALUE - 1, Integer.MAX_VALUE, new int[length], List.of()),
                        new ObserveMessage.Stamps(seq, 0, 0, new int[0], List.of()),
                        new ObserveMessage.Later(seq + 1_000, ObserveMessage.Reason.UNKNOWN, Long.MIN_VALUE),
                        new ObserveMessage.Welcome(seq + 1_000, Map.of()),
                        new ObserveMessage.Answer("none", -1, -1, null, null, null, null, true),
                        new ObserveMessage.Slots(seq, -1, List.of()),
                        new ObserveMessage.Taken(seq),
                        new ObserveMessage.Held(seq, -1, -1, List.of()))) {
                    world.at(O, received("a", message));
                    world.at(O, received("b", message));
                    world.at(O, received("nobody", message));
                }
            }
        }
        world.at(O, received("nobody", new ObserveMessage.Push(1, 0, List.of(World.slot(World.KEY, "o1", "o2")))));
        assertThat(world.observers.get(O).effectiveOrders()).isEqualTo(before);
        assertThat(world.told.get(O)).hasSize(told);
        assertThat(world.observers.get(O).feeds()).hasSize(2);
        world.change(World.slot(World.KEY, "o1", "o3"));
        world.run(6 * World.S);
        assertThat(world.acted(O, World.KEY)).containsExactly("\"o1\"", "\"o3\"");
        assertThat(world.observers.get(O).isCaughtUp()).isTrue();
    }

    @Test
    void garbledAnswersToItsOwnQuestionsNeitherThrowNorChangeAnything() {
        World world = joined();
        world.lost = message -> message.message() instanceof ObserveMessage.Push || message.message() instanceof ObserveMessage.Echo;
        world.change(World.slot(World.KEY, "o1"));
        world.run(2_200 * World.MS);
        for (World.Sent beat : List.copyOf(world.sent)) {
            if (beat.message() instanceof ObserveMessage.Beat asked) {
                for (int length : new int[] {1, HashTree.WIDTH - 1, HashTree.WIDTH + 1}) {
                    world.at(O, received(beat.to(),
                            new ObserveMessage.Echo(asked.seq(), true, Long.MIN_VALUE, new long[length], Map.of())));
                }
            }
        }
        assertThat(world.acted(O, World.KEY)).isEmpty();
        world.lost = message -> message.message() instanceof ObserveMessage.Stamps;
        world.run(3 * World.S);
        for (World.Sent leaves : List.copyOf(world.sent)) {
            if (leaves.message() instanceof ObserveMessage.Leaves asked) {
                for (int[] part : new int[][] {{-1, 1}, {1, 1}, {0, -1}, {Integer.MAX_VALUE - 1, Integer.MAX_VALUE}}) {
                    world.at(O, received(leaves.to(), new ObserveMessage.Stamps(asked.seq(), part[0], part[1], new int[] {-7, 999},
                            List.of(new ShardMessage.SlotDigest(World.KEY, 0)))));
                }
            }
        }
        assertThat(world.messages(ObserveMessage.Want.class)).isEmpty();
        world.lost = message -> false;
        world.run(4 * World.S);
        assertThat(world.acted(O, World.KEY)).containsExactly("\"o1\"");
    }

    @Test
    void partOfImpossiblyManyCostsNoMemory() {
        World world = joined();
        world.lost = message -> message.message() instanceof ObserveMessage.Push || message.message() instanceof ObserveMessage.Stamps;
        world.change(World.slot(World.KEY, "o1"));
        world.run(2_500 * World.MS);
        var memory = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = memory.getCurrentThreadAllocatedBytes();
        for (World.Sent leaves : List.copyOf(world.sent)) {
            if (leaves.message() instanceof ObserveMessage.Leaves asked) {
                world.at(O, received(leaves.to(),
                        new ObserveMessage.Stamps(asked.seq(), Integer.MAX_VALUE - 1, Integer.MAX_VALUE, new int[0], List.of())));
            }
        }
        assertThat(world.messages(ObserveMessage.Leaves.class)).isNotEmpty();
        assertThat(memory.getCurrentThreadAllocatedBytes() - before).isLessThan(16 << 20);
    }

    private static ObserverEvent received(String from, ObserveMessage message) {
        return new ObserverEvent.Received(from, message);
    }

    private static void add(ObserverAction action, List<ObserveMessage> to) {
        if (action instanceof ObserverAction.Send send) {
            to.add(send.message());
        }
    }
}

package walkpost.fleet.observe;

import static org.assertj.core.api.Assertions.assertThat;

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
    private static final ObserveSettings FEW = new ObserveSettings(2 * World.S, 5 * World.S, 400 * World.MS, 2_400 * World.MS,
            500 * World.MS, 4 * World.S, 60 * World.S, 3, 60, 24 * 3600 * World.S);

    private Feed feed;
    private long nowUs;
    private final List<FeedAction> actions = new ArrayList<>();

    @BeforeEach
    void make() {
        make(ObserveSettings.defaults());
    }

    private void make(ObserveSettings settings) {
        feed = new Feed(settings, "a", "north", Set.of("a", "b", "c"));
        handle(new FeedEvent.Voters(Set.of("b", "c")));
        handle(new FeedEvent.CaughtUpChanged(true));
    }

    private List<FeedAction> handle(FeedEvent event) {
        actions.clear();
        feed.handle(nowUs, event, actions::add);
        return List.copyOf(actions);
    }

    /** Returns the only message that is sent for one received. */
    private ObserveMessage answer(String from, ObserveMessage message) {
        List<FeedAction> sent = handle(new FeedEvent.Received(from, message));
        assertThat(sent).hasSize(1);
        assertThat(((FeedAction.Send) sent.get(0)).to()).isEqualTo(from);
        return ((FeedAction.Send) sent.get(0)).message();
    }

    /** Lets time pass and returns what is said to observers meanwhile. */
    private List<FeedAction.Send> pass(long forUs) {
        List<FeedAction.Send> sent = new ArrayList<>();
        for (long endUs = nowUs + forUs; nowUs < endUs;) {
            nowUs += 50 * World.MS;
            handle(new FeedEvent.Tick()).stream().map(FeedAction.Send.class::cast).filter(send -> send.to().startsWith("o"))
                    .forEach(sent::add);
        }
        return sent;
    }

    private void join(String name) {
        assertThat(answer(name, new ObserveMessage.Join(1, "north", true))).isInstanceOf(ObserveMessage.Welcome.class);
    }

    private void beat(String name) {
        assertThat(answer(name, new ObserveMessage.Beat(1, true, 0, 0))).isInstanceOf(ObserveMessage.Echo.class);
    }

    @Test
    void voterThatIsFullRefusesAtOnceByType() {
        make(FEW);
        join("o1");
        join("o2");
        join("o3");
        assertThat(answer("o4", new ObserveMessage.Join(7, "north", true))).isInstanceOfSatisfying(ObserveMessage.Later.class, later -> {
            assertThat(later.seq()).isEqualTo(7);
            assertThat(later.why()).isEqualTo(ObserveMessage.Reason.FULL);
            assertThat(later.retryMs()).isPositive();
        });
        join("o1");
        handle(new FeedEvent.Received("o2", new ObserveMessage.Leave()));
        join("o4");
    }

    @Test
    void joinsBeyondASecondsAreCalledBackOneAfterTheOther() {
        List<Long> retries = new ArrayList<>();
        for (int i = 0; i < 180; i++) {
            if (answer("o" + i, new ObserveMessage.Join(1, "", true)) instanceof ObserveMessage.Later later) {
                assertThat(later.why()).isEqualTo(ObserveMessage.Reason.TOO_MANY_AT_ONCE);
                retries.add(later.retryMs());
            }
        }
        assertThat(retries).hasSize(120).isSorted();
        assertThat(retries.get(0)).isGreaterThanOrEqualTo(1_000);
        assertThat(retries.get(119) - retries.get(0)).isBetween(1_500L, 2_500L);
    }

    @Test
    void observerThatIsSilentIsForgotten() {
        join("o1");
        pass(4 * World.S);
        beat("o1");
        pass(5 * World.S);
        assertThat(feed.lives(nowUs)).isEqualTo(Map.of("north", 1));
        pass(World.S);
        assertThat(feed.lives(nowUs)).isEmpty();
        assertThat(answer("o1", new ObserveMessage.Beat(5, true, 0, 0))).isInstanceOfSatisfying(ObserveMessage.Later.class,
                later -> assertThat(later.why()).isEqualTo(ObserveMessage.Reason.UNKNOWN));
    }

    @Test
    void changeIsPushedAtOnceAndAgainUntilItIsTaken() {
        join("o1");
        join("o2");
        Slot slot = World.slot(World.KEY, "x1");
        List<FeedAction> pushed = handle(new FeedEvent.Changed(List.of(slot)));
        assertThat(pushed).hasSize(2);
        ObserveMessage.Push push = (ObserveMessage.Push) ((FeedAction.Send) pushed.get(0)).message();
        assertThat(push.slots()).containsExactly(slot);
        handle(new FeedEvent.Received("o1", new ObserveMessage.Taken(push.number())));
        List<FeedAction.Send> again = pass(3 * World.S);
        assertThat(again).hasSize(2).allMatch(send -> send.to().equals("o2") && send.message() instanceof ObserveMessage.Push repeated
                && repeated.number() == push.number() && repeated.slots().equals(List.of(slot)));
    }

    @Test
    void beatIsAnsweredWithNodesOnlyWhereRootsDiffer() {
        join("o1");
        handle(new FeedEvent.Changed(List.of(World.slot(World.KEY, "x1"))));
        var differing = (ObserveMessage.Echo) answer("o1", new ObserveMessage.Beat(2, true, 0, 0));
        assertThat(differing.nodes()).hasSize(HashTree.WIDTH);
        var table = new SlotTable();
        table.join(0, World.slot(World.KEY, "x1"));
        var equal = (ObserveMessage.Echo) answer("o1", new ObserveMessage.Beat(3, true, table.tree().root(), 0));
        assertThat(equal.nodes()).isEmpty();
        assertThat(equal.level()).isTrue();
        handle(new FeedEvent.CaughtUpChanged(false));
        assertThat(((ObserveMessage.Echo) answer("o1", new ObserveMessage.Beat(4, true, table.tree().root(), 0))).level()).isFalse();
    }

    @Test
    void offersAreTakenOnlyFromACopyThatIsNotTooOld() {
        join("o1");
        Slot slot = World.slot(World.KEY, "x1");
        long halfUs = ObserveSettings.defaults().removalUs() / 2;
        for (long awayUs : new long[] {-1, halfUs + 1, Observer.NEVER_US, Long.MAX_VALUE, Long.MIN_VALUE}) {
            assertThat(handle(new FeedEvent.Received("o1", new ObserveMessage.Offer(awayUs, List.of(slot))))).isEmpty();
        }
        assertThat(handle(new FeedEvent.Received("o1", new ObserveMessage.Offer(halfUs, List.of(slot)))))
                .containsExactly(new FeedAction.Offer(List.of(slot)));
    }

    @Test
    void whoOffersWhatIsOverGetsWhatReplacedIt() {
        join("o1");
        handle(new FeedEvent.Changed(List.of(World.slot(World.KEY, "x1", "x2"))));
        assertThat(answer("o1", new ObserveMessage.Offer(0, List.of(World.slot(World.KEY, "x1"))))).isInstanceOfSatisfying(
                ObserveMessage.Slots.class, slots -> assertThat(slots.slots()).containsExactly(World.slot(World.KEY, "x1", "x2")));
    }

    @Test
    void orderOfSeveralObserversUnderOneIdIsProposedOnceAndAnsweredToAll() {
        var call = new ObserveMessage.Call(World.KEY, "x1", "", "1", 1);
        assertThat(handle(new FeedEvent.Received("o1", call))).containsExactly(new FeedAction.Propose(World.KEY, "x1", "", "1"));
        assertThat(handle(new FeedEvent.Received("o1", call))).isEmpty();
        assertThat(handle(new FeedEvent.Received("o2", call))).isEmpty();
        Order order = World.slot(World.KEY, "x1").heads().get(0);
        List<FeedAction> answers = handle(new FeedEvent.Acknowledged("x1", order));
        assertThat(answers).hasSize(2).allMatch(action -> action instanceof FeedAction.Send send
                && send.message() instanceof ObserveMessage.Answer answer && answer.order().equals(order));
    }

    @Test
    void copyOfACallThatComesAfterItsAnswerIsAnsweredTheSameAndNotProposed() {
        var first = new ObserveMessage.Call(World.KEY, "x1", "", "1", 5);
        handle(new FeedEvent.Received("o1", first));
        List<FeedAction> refused = handle(new FeedEvent.Refused("x1", new FleetException.Busy("x1", "x2")));
        assertThat(handle(new FeedEvent.Received("o1", first))).isEqualTo(refused);
        assertThat(handle(new FeedEvent.Received("o1", new ObserveMessage.Call(World.KEY, "x1", "", "1", 4)))).isEqualTo(refused);
        assertThat(handle(new FeedEvent.Received("o1", new ObserveMessage.Call(World.KEY, "x1", "", "1", 6))))
                .containsExactly(new FeedAction.Propose(World.KEY, "x1", "", "1"));
        Order order = World.slot(World.KEY, "x1").heads().get(0);
        List<FeedAction> acknowledged = handle(new FeedEvent.Acknowledged("x1", order));
        assertThat(handle(new FeedEvent.Received("o1", new ObserveMessage.Call(World.KEY, "x1", "", "1", 7)))).isEqualTo(acknowledged);
    }

    @Test
    void orderThatWasUncertainOnceIsNotRefusedForCertainByALaterAttempt() {
        handle(new FeedEvent.Received("o1", new ObserveMessage.Call(World.KEY, "x1", "", "1", 1)));
        handle(new FeedEvent.Refused("x1", new FleetException.Uncertain("x1", List.of("b", "c"))));
        handle(new FeedEvent.Received("o1", new ObserveMessage.Call(World.KEY, "x1", "", "1", 2)));
        List<FeedAction> answers = handle(new FeedEvent.Refused("x1", new FleetException.Overtaken("x1", "x2")));
        assertThat(answers).hasSize(1).allMatch(action -> action instanceof FeedAction.Send send
                && send.message() instanceof ObserveMessage.Answer answer && answer.type().equals("Uncertain") && answer.attempt() == 2);
    }

    @Test
    void garbledMessagesNeitherThrowNorChangeAnything() {
        join("o1");
        handle(new FeedEvent.Changed(List.of(World.slot(World.KEY, "x1"))));
        pass(2 * World.S);
        beat("o1");
        Map<String, Integer> lives = feed.lives(nowUs);
        long[] whole = new long[HashTree.WIDTH];
        for (ObserveMessage message : List.of(
                new ObserveMessage.Leaves(-1, new int[] {0}, new long[0]),
                new ObserveMessage.Leaves(1, new int[] {0, 1}, whole),
                new ObserveMessage.Leaves(1, new int[] {-1}, whole),
                new ObserveMessage.Leaves(1, new int[] {HashTree.WIDTH}, whole),
                new ObserveMessage.Leaves(1, new int[HashTree.WIDTH + 1], new long[(HashTree.WIDTH + 1) * HashTree.WIDTH]),
                new ObserveMessage.Leaves(1, new int[] {Integer.MIN_VALUE}, Arrays.copyOf(whole, 1)),
                new ObserveMessage.Want(-1, List.of()),
                new ObserveMessage.Offer(-1, List.of(World.slot(World.KEY, "x9"))),
                new ObserveMessage.Offer(0, List.of()),
                new ObserveMessage.Offer(0, List.of(Slot.empty(new Order.Key("placement", "none")))),
                new ObserveMessage.Taken(Long.MIN_VALUE),
                new ObserveMessage.Report(List.of(new Entry(new Entry.Key("t", "s", "somebody"), 1, 1, "{}", 0))),
                new ObserveMessage.Report(List.of(new Entry(new Entry.Key("t", "s", "o1"), 1, 1, "{}", -1))),
                new ObserveMessage.Report(List.of(new Entry(new Entry.Key("t", "s", "o1"), 1, 1, "{}", Long.MAX_VALUE))),
                new ObserveMessage.Sum(null, Map.of("north", 7)),
                new ObserveMessage.Sum("north", Map.of("north", -7)),
                new ObserveMessage.Echo(1, true, 0, new long[3], Map.of("x", 1)),
                new ObserveMessage.Welcome(1, Map.of()),
                new ObserveMessage.Stamps(1, -1, -1, new int[0], List.of()),
                new ObserveMessage.Answer("x1", 1, 1, null, null, null, null, false))) {
            assertThat(handle(new FeedEvent.Received("o1", message))).as("%s", message).isEmpty();
            assertThat(handle(new FeedEvent.Received("b", message))).as("%s", message).isEmpty();
        }
        assertThat(feed.lives(nowUs)).isEqualTo(Map.of("north", 8));
        assertThat(lives).isEqualTo(Map.of("north", 1));
        assertThat(feed.figures()).containsEntry("facts", 0L).containsEntry("slots", 1L).containsEntry("observers", 1L);
    }

    @Test
    void whatAVoterOrAStrangerSaysAsAnObserverIsDropped() {
        assertThat(handle(new FeedEvent.Received("b", new ObserveMessage.Join(1, "north", true)))).isEmpty();
        assertThat(handle(new FeedEvent.Received("o1", new ObserveMessage.Sum("north", Map.of("north", 70))))).isEmpty();
        assertThat(feed.lives(nowUs)).isEmpty();
    }
}

package walkpost.fleet.observe;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.copy.SlotMerge;
import walkpost.fleet.member.Life;

/**
 * Feeds and observers on a deterministic simulated network, in one thread: a message takes the one-way time of its sender or receiver, or
 * is lost if the test says so.
 */
final class ObserverNetwork {
    static final long MILLI_US = 1_000;
    static final long SECOND_US = 1_000 * MILLI_US;
    static final Order.Key KEY = new Order.Key("placement", "l1");
    private static final long TICK_US = 50 * MILLI_US;

    /** A message that was sent; it is in flight, has arrived or is lost. */
    record Sent(long atUs, String from, String to, ObserveMessage message) { }

    private record Delivery(long atUs, long number, Runnable work) { }

    final ObserveSettings settings;
    final Map<String, Feed> feeds = new TreeMap<>();
    final Map<String, Observer> observers = new TreeMap<>();
    final List<Sent> sent = new ArrayList<>();
    /** The actions of each observer, except messages. */
    final Map<String, List<ObserverAction>> actions = new TreeMap<>();
    /** The actions of each feed, except messages. */
    final Map<String, List<FeedAction>> feedActions = new TreeMap<>();
    /** The one-way time in microseconds by the voter's name; 1 ms by default. */
    final Map<String, Long> oneWayUs = new TreeMap<>();
    Predicate<Sent> isLost = message -> false;
    private final Set<String> voters;
    private final PriorityQueue<Delivery> queue = new PriorityQueue<>(
            Comparator.comparingLong(Delivery::atUs).thenComparingLong(Delivery::number));
    private long lastNumber;
    long nowUs;

    ObserverNetwork(String... voters) {
        this(ObserveSettings.defaults(), voters);
    }

    ObserverNetwork(ObserveSettings settings, String... voters) {
        this.settings = settings;
        this.voters = Set.of(voters);
    }

    /** Adds a voter that is caught up, or restarts it with an empty replica. */
    void addVoter(String name, String region) {
        feeds.put(name, new Feed(settings, name, region, voters));
        feedActions.put(name, new ArrayList<>());
        Set<String> others = new TreeSet<>(voters);
        others.remove(name);
        at(name, new FeedEvent.LiveVoters(others));
        at(name, new FeedEvent.CaughtUpChanged(true));
    }

    /** Adds an observer that sees all voters alive. */
    Observer addObserver(String name, String region) {
        var observer = new Observer(settings, new Life(name, 1), region, voters, name.hashCode());
        observers.put(name, observer);
        actions.put(name, new ArrayList<>());
        Map<String, Long> live = new TreeMap<>();
        voters.forEach(voter -> live.put(voter, MILLI_US));
        at(name, new ObserverEvent.LiveVoters(live));
        return observer;
    }

    void at(String voter, FeedEvent event) {
        feeds.get(voter).handle(nowUs, event, action -> {
            if (action instanceof FeedAction.Send send) {
                send(voter, send.to(), send.message());
            } else {
                feedActions.get(voter).add(action);
            }
        });
    }

    void at(String observer, ObserverEvent event) {
        observers.get(observer).handle(nowUs, event, action -> {
            if (action instanceof ObserverAction.Send send) {
                send(observer, send.to(), send.message());
            } else {
                actions.get(observer).add(action);
            }
        });
    }

    private void send(String from, String to, ObserveMessage content) {
        var message = new Sent(nowUs, from, to, content);
        sent.add(message);
        if (!isLost.test(message)) {
            long travelUs = oneWayUs.getOrDefault(from, oneWayUs.getOrDefault(to, MILLI_US));
            queue.add(new Delivery(nowUs + travelUs, lastNumber++, () -> arrive(message)));
        }
    }

    private void arrive(Sent message) {
        if (feeds.containsKey(message.to)) {
            at(message.to, new FeedEvent.Received(message.from, message.message));
        } else if (observers.containsKey(message.to)) {
            at(message.to, new ObserverEvent.Received(message.from, message.message));
        }
    }

    /** Advances the time, with ticks. */
    void run(long forUs) {
        long endUs = nowUs + forUs;
        for (long tickUs = nowUs + TICK_US; tickUs <= endUs; tickUs += TICK_US) {
            deliver(tickUs);
            List.copyOf(feeds.keySet()).forEach(voter -> at(voter, new FeedEvent.Tick()));
            List.copyOf(observers.keySet()).forEach(observer -> at(observer, new ObserverEvent.Tick()));
        }
        deliver(endUs);
    }

    private void deliver(long untilUs) {
        while (!queue.isEmpty() && queue.peek().atUs <= untilUs) {
            Delivery next = queue.poll();
            nowUs = next.atUs;
            next.work.run();
        }
        nowUs = untilUs;
    }

    /** Changes a slot in the shards of the given voters, or of all voters if none are given. */
    void changeSlot(Slot slot, String... changedVoters) {
        (changedVoters.length == 0 ? List.copyOf(feeds.keySet()) : List.of(changedVoters)).forEach(
                voter -> at(voter, new FeedEvent.SlotsChanged(List.of(slot))));
    }

    /** Returns the payloads that an observer has published for a key, in order. */
    List<String> publishedPayloads(String observer, Order.Key key) {
        List<String> payloads = new ArrayList<>();
        for (ObserverAction action : actions.get(observer)) {
            if (action instanceof ObserverAction.EffectiveOrderChanged change && change.key().equals(key)) {
                payloads.add(change.effectiveOrder().payload());
            }
        }
        return payloads;
    }

    /** Returns all messages of a type that were sent so far, lost ones included. */
    <T extends ObserveMessage> List<T> messages(Class<T> type) {
        return sent.stream().map(Sent::message).filter(type::isInstance).map(type::cast).toList();
    }

    /** Returns an observer's actions of a type. */
    <T extends ObserverAction> List<T> actions(String observer, Class<T> type) {
        return actions.get(observer).stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Returns a slot in which orders with these ids were decided one after the other, each replacing the one before. */
    static Slot slot(Order.Key key, String... ids) {
        Slot slot = Slot.empty(key);
        for (String id : ids) {
            slot = SlotMerge.withOrder(slot, new Order(key, id, slot.heads().isEmpty() ? 1 : slot.heads().get(0).version() + 1,
                    slot.heads().stream().map(Order::id).toList(), "\"" + id + "\"", null, new Life("a", 1)));
        }
        return slot;
    }
}

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

/** Feeds and observers on a simulated network without chance, in one thread: a message takes its way's time, or is lost where a test says so. */
final class World {
    static final long MS = 1_000;
    static final long S = 1_000 * MS;
    static final Order.Key KEY = new Order.Key("placement", "l1");
    private static final long TICK_US = 50 * MS;

    /** A message on its way, or arrived. */
    record Sent(long atUs, String from, String to, ObserveMessage message) { }

    private record Planned(long atUs, long number, Runnable work) { }

    final ObserveSettings settings;
    final Map<String, Feed> feeds = new TreeMap<>();
    final Map<String, Observer> observers = new TreeMap<>();
    final List<Sent> sent = new ArrayList<>();
    final Map<String, List<ObserverAction>> told = new TreeMap<>();
    final Map<String, List<FeedAction>> asked = new TreeMap<>();
    /** One way, in microseconds, by the voter's name; 1 ms where none is given. */
    final Map<String, Long> wayUs = new TreeMap<>();
    Predicate<Sent> lost = message -> false;
    private final Set<String> voters;
    private final PriorityQueue<Planned> queue = new PriorityQueue<>(
            Comparator.comparingLong(Planned::atUs).thenComparingLong(Planned::number));
    private long numbers;
    long nowUs;

    World(String... voters) {
        this(ObserveSettings.defaults(), voters);
    }

    World(ObserveSettings settings, String... voters) {
        this.settings = settings;
        this.voters = Set.of(voters);
    }

    /** Adds a voter that is level. */
    void voter(String name, String region) {
        feeds.put(name, new Feed(settings, name, region, voters));
        asked.put(name, new ArrayList<>());
        Set<String> others = new TreeSet<>(voters);
        others.remove(name);
        at(name, new FeedEvent.Voters(others));
        at(name, new FeedEvent.CaughtUpChanged(true));
    }

    Observer observer(String name, String region) {
        var observer = new Observer(settings, new Life(name, 1), region, voters, name.hashCode());
        observers.put(name, observer);
        told.put(name, new ArrayList<>());
        Map<String, Long> living = new TreeMap<>();
        voters.forEach(voter -> living.put(voter, MS));
        at(name, new ObserverEvent.Voters(living));
        return observer;
    }

    void at(String voter, FeedEvent event) {
        feeds.get(voter).handle(nowUs, event, action -> {
            if (action instanceof FeedAction.Send send) {
                send(voter, send.to(), send.message());
            } else {
                asked.get(voter).add(action);
            }
        });
    }

    void at(String observer, ObserverEvent event) {
        observers.get(observer).handle(nowUs, event, action -> {
            if (action instanceof ObserverAction.Send send) {
                send(observer, send.to(), send.message());
            } else {
                told.get(observer).add(action);
            }
        });
    }

    private void send(String from, String to, ObserveMessage message) {
        var one = new Sent(nowUs, from, to, message);
        sent.add(one);
        if (!lost.test(one)) {
            long way = wayUs.getOrDefault(from, wayUs.getOrDefault(to, MS));
            queue.add(new Planned(nowUs + way, numbers++, () -> arrive(one)));
        }
    }

    private void arrive(Sent message) {
        if (feeds.containsKey(message.to)) {
            at(message.to, new FeedEvent.Received(message.from, message.message));
        } else if (observers.containsKey(message.to)) {
            at(message.to, new ObserverEvent.Received(message.from, message.message));
        }
    }

    /** Lets time pass, with ticks. */
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
            Planned next = queue.poll();
            nowUs = next.atUs;
            next.work.run();
        }
        nowUs = untilUs;
    }

    /** Has a voter's shards change; without a name, all voters'. */
    void change(Slot slot, String... at) {
        (at.length == 0 ? List.copyOf(feeds.keySet()) : List.of(at)).forEach(
                voter -> at(voter, new FeedEvent.Changed(List.of(slot))));
    }

    /** Returns the payloads that an observer was told to act on for a key, one after the other. */
    List<String> acted(String observer, Order.Key key) {
        List<String> payloads = new ArrayList<>();
        for (ObserverAction action : told.get(observer)) {
            if (action instanceof ObserverAction.EffectiveOrderChanged stands && stands.key().equals(key)) {
                payloads.add(stands.acting().payload());
            }
        }
        return payloads;
    }

    <T extends ObserveMessage> List<T> messages(Class<T> type) {
        return sent.stream().map(Sent::message).filter(type::isInstance).map(type::cast).toList();
    }

    <T extends ObserverAction> List<T> told(String observer, Class<T> type) {
        return told.get(observer).stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Returns a slot in which these orders were decided one after the other, each replacing the one before. */
    static Slot slot(Order.Key key, String... ids) {
        Slot slot = Slot.empty(key);
        for (String id : ids) {
            slot = SlotMerge.withOrder(slot, new Order(key, id, slot.heads().isEmpty() ? 1 : slot.heads().get(0).version() + 1,
                    slot.heads().stream().map(Order::id).toList(), "\"" + id + "\"", null, new Life("a", 1)));
        }
        return slot;
    }
}

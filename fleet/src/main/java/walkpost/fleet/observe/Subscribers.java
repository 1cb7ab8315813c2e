package walkpost.fleet.observe;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import walkpost.fleet.copy.MessageSizes;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Slot;

/**
 * The observers that a voter feeds: owns who they are, what was pushed to each and not taken yet, and whether each was once found equal
 * to this voter since it lost track of it. Their number and the joins of a second are bounded; whoever is too many is told so at once, and
 * when to come again, each a little later than the one before.
 */
final class Subscribers {
    /** A push is repeated so often; then the observer's next beat has to find what it misses. */
    private static final int TRIES = 3;
    /** Pushes that one observer may have outstanding. */
    private static final int OUTSTANDING = 64;
    /** Slots that are pushed in a second; more of them are a voter that catches up, and found by comparing. */
    private static final int PUSHED_PER_SECOND = 400;

    /** Something pushed to one observer. */
    private static final class PendingPush {
        private final List<Order.Key> keys;
        private int tries = 1;
        private long sentUs;

        private PendingPush(List<Order.Key> keys, long nowUs) {
            this.keys = keys;
            this.sentUs = nowUs;
        }
    }

    private static final class Subscriber {
        private final String region;
        private boolean primary;
        private long heardUs;
        /** Whether it holds all that stands here but for what is outstanding. */
        private boolean equal;
        private final Map<Long, PendingPush> outstanding = new TreeMap<>();

        private Subscriber(String region) {
            this.region = region;
        }
    }

    private final ObserveSettings settings;
    private final ObserveCounters counters;
    private final TokenBucket joins;
    private final TokenBucket pushes = new TokenBucket(PUSHED_PER_SECOND);
    private final Map<String, Subscriber> observers = new LinkedHashMap<>();
    private long numbers;
    private long refused;
    private long refusedUs;

    Subscribers(ObserveSettings settings, ObserveCounters counters) {
        this.settings = settings;
        this.counters = counters;
        this.joins = new TokenBucket(settings.joinsPerSecond());
    }

    /** Takes an observer and returns null, or why not and when to come again. */
    ObserveMessage.Later join(long nowUs, String from, ObserveMessage.Join join) {
        Subscriber known = observers.get(from);
        if (known == null && observers.size() >= settings.mostObservers()) {
            counters.increment("joins.refused_full");
            return new ObserveMessage.Later(join.seq(), ObserveMessage.Reason.FULL, settings.silenceUs() / 1_000);
        }
        if (known == null && !joins.take(nowUs, 1)) {
            counters.increment("joins.refused_many");
            // Who is refused in a row is called back in a row.
            refused = nowUs - refusedUs > 1_000_000 ? 0 : refused + 1;
            refusedUs = nowUs;
            return new ObserveMessage.Later(join.seq(), ObserveMessage.Reason.TOO_MANY_AT_ONCE,
                    1_000 + 1_000 * refused / settings.joinsPerSecond());
        }
        var subscriber = new Subscriber(join.region() == null ? "" : join.region());
        subscriber.primary = join.primary();
        subscriber.heardUs = nowUs;
        observers.put(from, subscriber);
        return null;
    }

    /** Takes a beat; returns false where the observer is not attached. */
    boolean beat(long nowUs, String from, boolean primary, boolean equal) {
        Subscriber subscriber = observers.get(from);
        if (subscriber == null) {
            return false;
        }
        subscriber.heardUs = nowUs;
        subscriber.primary = primary;
        if (equal) {
            subscriber.equal = true;
            subscriber.outstanding.clear();
        }
        return true;
    }

    void leave(String from) {
        observers.remove(from);
    }

    boolean has(String name) {
        return observers.containsKey(name);
    }

    int size() {
        return observers.size();
    }

    /** This process stood still: what was said to it meanwhile may be unread, and silence does not count. */
    void stoodStill(long gapUs) {
        observers.values().forEach(subscriber -> subscriber.heardUs += gapUs);
    }

    /** Sends what has changed to all, or, where that is more than is pushed, has them find it by comparing. */
    void push(long nowUs, List<Slot> slots, long awayUs, MessageSender sender) {
        if (observers.isEmpty() || slots.isEmpty()) {
            return;
        }
        if (!pushes.take(nowUs, slots.size())) {
            counters.increment("pushes.left_out");
            observers.values().forEach(subscriber -> subscriber.equal = false);
            return;
        }
        for (List<Slot> part : MessageSizes.split(slots, MessageSizes::bytesOf)) {
            long number = ++numbers;
            List<Order.Key> keys = part.stream().map(Slot::key).toList();
            var message = new ObserveMessage.Push(number, awayUs, part);
            observers.forEach((name, subscriber) -> {
                if (subscriber.outstanding.size() >= OUTSTANDING) {
                    subscriber.outstanding.clear();
                    subscriber.equal = false;
                }
                subscriber.outstanding.put(number, new PendingPush(keys, nowUs));
                sender.send(name, message);
            });
        }
    }

    void taken(String from, long number) {
        Subscriber subscriber = observers.get(from);
        if (subscriber != null) {
            subscriber.outstanding.remove(number);
        }
    }

    /** Forgets who was not heard for too long, and repeats what was not taken. */
    void tick(long nowUs, SlotTable table, long awayUs, MessageSender sender) {
        observers.entrySet().removeIf(each -> {
            boolean silent = nowUs - each.getValue().heardUs > settings.silenceUs();
            if (silent) {
                counters.increment("observers.silent");
            }
            return silent;
        });
        observers.forEach((name, subscriber) -> repeat(nowUs, name, subscriber, table, awayUs, sender));
    }

    private void repeat(long nowUs, String name, Subscriber subscriber, SlotTable table, long awayUs, MessageSender sender) {
        List<Long> given = new ArrayList<>();
        subscriber.outstanding.forEach((number, push) -> {
            if (nowUs - push.sentUs < settings.repeatUs()) {
                return;
            }
            if (push.tries >= TRIES) {
                given.add(number);
                return;
            }
            push.tries++;
            push.sentUs = nowUs;
            counters.increment("pushes.repeated");
            sender.send(name, new ObserveMessage.Push(number, awayUs, push.keys.stream().map(table::slot).toList()));
        });
        if (!given.isEmpty()) {
            given.forEach(subscriber.outstanding::remove);
            subscriber.equal = false;
        }
    }

    /** Returns the names of those counted here. */
    Collection<String> counted() {
        Set<String> names = new LinkedHashSet<>();
        observers.forEach((name, subscriber) -> {
            if (subscriber.primary) {
                names.add(name);
            }
        });
        return names;
    }

    /** Returns whether an observer holds what stands for a key here. */
    boolean holds(String name, Order.Key key) {
        Subscriber subscriber = observers.get(name);
        return subscriber != null && subscriber.equal
                && subscriber.outstanding.values().stream().noneMatch(push -> push.keys.contains(key));
    }

    /** Returns how many are counted here, by region. */
    Map<String, Integer> byRegion() {
        Map<String, Integer> all = new TreeMap<>();
        observers.values().stream().filter(subscriber -> subscriber.primary)
                .forEach(subscriber -> all.merge(subscriber.region, 1, Integer::sum));
        return all;
    }
}

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
final class Attached {
    /** A push is repeated so often; then the observer's next beat has to find what it misses. */
    private static final int TRIES = 3;
    /** Pushes that one observer may have outstanding. */
    private static final int OUTSTANDING = 64;
    /** Slots that are pushed in a second; more of them are a voter that catches up, and found by comparing. */
    private static final int PUSHED_PER_SECOND = 400;

    /** Something pushed to one observer. */
    private static final class Push {
        private final List<Order.Key> keys;
        private int tries = 1;
        private long sentUs;

        private Push(List<Order.Key> keys, long nowUs) {
            this.keys = keys;
            this.sentUs = nowUs;
        }
    }

    private static final class Observing {
        private final String region;
        private boolean primary;
        private long heardUs;
        /** Whether it holds all that stands here but for what is outstanding. */
        private boolean equal;
        private final Map<Long, Push> outstanding = new TreeMap<>();

        private Observing(String region) {
            this.region = region;
        }
    }

    private final ObserveSettings settings;
    private final Counts counts;
    private final Bucket joins;
    private final Bucket pushes = new Bucket(PUSHED_PER_SECOND);
    private final Map<String, Observing> observers = new LinkedHashMap<>();
    private long numbers;
    private long refused;
    private long refusedUs;

    Attached(ObserveSettings settings, Counts counts) {
        this.settings = settings;
        this.counts = counts;
        this.joins = new Bucket(settings.joinsPerSecond());
    }

    /** Takes an observer and returns null, or why not and when to come again. */
    ObserveMessage.Later join(long nowUs, String from, ObserveMessage.Join join) {
        Observing known = observers.get(from);
        if (known == null && observers.size() >= settings.mostObservers()) {
            counts.count("joins.refused_full");
            return new ObserveMessage.Later(join.seq(), ObserveMessage.Reason.FULL, settings.silenceUs() / 1_000);
        }
        if (known == null && !joins.take(nowUs, 1)) {
            counts.count("joins.refused_many");
            // Who is refused in a row is called back in a row.
            refused = nowUs - refusedUs > 1_000_000 ? 0 : refused + 1;
            refusedUs = nowUs;
            return new ObserveMessage.Later(join.seq(), ObserveMessage.Reason.TOO_MANY_AT_ONCE,
                    1_000 + 1_000 * refused / settings.joinsPerSecond());
        }
        var observing = new Observing(join.region() == null ? "" : join.region());
        observing.primary = join.primary();
        observing.heardUs = nowUs;
        observers.put(from, observing);
        return null;
    }

    /** Takes a beat; returns false where the observer is not attached. */
    boolean beat(long nowUs, String from, boolean primary, boolean equal) {
        Observing observing = observers.get(from);
        if (observing == null) {
            return false;
        }
        observing.heardUs = nowUs;
        observing.primary = primary;
        if (equal) {
            observing.equal = true;
            observing.outstanding.clear();
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
        observers.values().forEach(observing -> observing.heardUs += gapUs);
    }

    /** Sends what has changed to all, or, where that is more than is pushed, has them find it by comparing. */
    void push(long nowUs, List<Slot> slots, long awayUs, Send send) {
        if (observers.isEmpty() || slots.isEmpty()) {
            return;
        }
        if (!pushes.take(nowUs, slots.size())) {
            counts.count("pushes.left_out");
            observers.values().forEach(observing -> observing.equal = false);
            return;
        }
        for (List<Slot> part : MessageSizes.split(slots, MessageSizes::bytesOf)) {
            long number = ++numbers;
            List<Order.Key> keys = part.stream().map(Slot::key).toList();
            var message = new ObserveMessage.Push(number, awayUs, part);
            observers.forEach((name, observing) -> {
                if (observing.outstanding.size() >= OUTSTANDING) {
                    observing.outstanding.clear();
                    observing.equal = false;
                }
                observing.outstanding.put(number, new Push(keys, nowUs));
                send.to(name, message);
            });
        }
    }

    void taken(String from, long number) {
        Observing observing = observers.get(from);
        if (observing != null) {
            observing.outstanding.remove(number);
        }
    }

    /** Forgets who was not heard for too long, and repeats what was not taken. */
    void tick(long nowUs, SlotTable table, long awayUs, Send send) {
        observers.entrySet().removeIf(each -> {
            boolean silent = nowUs - each.getValue().heardUs > settings.silenceUs();
            if (silent) {
                counts.count("observers.silent");
            }
            return silent;
        });
        observers.forEach((name, observing) -> repeat(nowUs, name, observing, table, awayUs, send));
    }

    private void repeat(long nowUs, String name, Observing observing, SlotTable table, long awayUs, Send send) {
        List<Long> given = new ArrayList<>();
        observing.outstanding.forEach((number, push) -> {
            if (nowUs - push.sentUs < settings.repeatUs()) {
                return;
            }
            if (push.tries >= TRIES) {
                given.add(number);
                return;
            }
            push.tries++;
            push.sentUs = nowUs;
            counts.count("pushes.repeated");
            send.to(name, new ObserveMessage.Push(number, awayUs, push.keys.stream().map(table::slot).toList()));
        });
        if (!given.isEmpty()) {
            given.forEach(observing.outstanding::remove);
            observing.equal = false;
        }
    }

    /** Returns the names of those counted here. */
    Collection<String> counted() {
        Set<String> names = new LinkedHashSet<>();
        observers.forEach((name, observing) -> {
            if (observing.primary) {
                names.add(name);
            }
        });
        return names;
    }

    /** Returns whether an observer holds what stands for a key here. */
    boolean holds(String name, Order.Key key) {
        Observing observing = observers.get(name);
        return observing != null && observing.equal
                && observing.outstanding.values().stream().noneMatch(push -> push.keys.contains(key));
    }

    /** Returns how many are counted here, by region. */
    Map<String, Integer> byRegion() {
        Map<String, Integer> all = new TreeMap<>();
        observers.values().stream().filter(observing -> observing.primary)
                .forEach(observing -> all.merge(observing.region, 1, Integer::sum));
        return all;
    }
}

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
 * The observers that a voter feeds: owns who they are, which pushes to each are unacknowledged, and whether each observer's replica was
 * equal to this voter's at some time after the latest push that may have been lost. Admission control bounds their number and the
 * subscriptions in a second; an observer beyond the bounds is refused at once, with the time after which to try again, and observers
 * refused in a row get increasing times.
 */
final class Subscribers {
    /** How often a push is sent; after that the observer's next heartbeat finds what it lacks. */
    private static final int MAX_PUSH_ATTEMPTS = 3;
    private static final int MAX_PENDING_PUSHES_PER_OBSERVER = 64;
    /** More changes than this in a second mean that the voter is catching up; the observers find them by comparison. */
    private static final int MAX_PUSHED_SLOTS_PER_SECOND = 400;
    /** Subscriptions that are refused within this time of each other count as refused in a row. */
    private static final long REFUSED_IN_A_ROW_US = 1_000_000;

    /** A push to one observer that is not acknowledged yet. */
    private static final class PendingPush {
        private final List<Order.Key> keys;
        private int attempts = 1;
        private long sentUs;

        private PendingPush(List<Order.Key> keys, long nowUs) {
            this.keys = keys;
            this.sentUs = nowUs;
        }
    }

    private static final class Subscriber {
        private final String region;
        private boolean primary;
        private long lastHeardUs;
        /** Whether the observer holds everything that this voter holds, except for the pending pushes. */
        private boolean inSync;
        private final Map<Long, PendingPush> pendingPushes = new TreeMap<>();

        private Subscriber(String region) {
            this.region = region;
        }
    }

    private final ObserveSettings settings;
    private final ObserveCounters counters;
    private final TokenBucket subscriptionBucket;
    private final TokenBucket pushBucket = new TokenBucket(MAX_PUSHED_SLOTS_PER_SECOND);
    private final Map<String, Subscriber> subscribers = new LinkedHashMap<>();
    private long lastPushNumber;
    private long refusedInARow;
    private long lastRefusalUs;

    Subscribers(ObserveSettings settings, ObserveCounters counters) {
        this.settings = settings;
        this.counters = counters;
        this.subscriptionBucket = new TokenBucket(settings.subscriptionsPerSecond());
    }

    /** Subscribes an observer and returns null, or returns the refusal. */
    ObserveMessage.SubscriptionRefused subscribe(long nowUs, String from, ObserveMessage.Subscribe request) {
        Subscriber known = subscribers.get(from);
        if (known == null && subscribers.size() >= settings.maxObservers()) {
            counters.increment("joins.refused_full");
            return new ObserveMessage.SubscriptionRefused(request.seq(), ObserveMessage.RefusalReason.FULL, settings.silenceUs() / 1_000);
        }
        if (known == null && !subscriptionBucket.take(nowUs, 1)) {
            counters.increment("joins.refused_many");
            // Observers that are refused in a row get times to try again that follow each other at the admitted rate.
            refusedInARow = nowUs - lastRefusalUs > REFUSED_IN_A_ROW_US ? 0 : refusedInARow + 1;
            lastRefusalUs = nowUs;
            return new ObserveMessage.SubscriptionRefused(request.seq(), ObserveMessage.RefusalReason.TOO_MANY_AT_ONCE,
                    1_000 + 1_000 * refusedInARow / settings.subscriptionsPerSecond());
        }
        var subscriber = new Subscriber(request.region() == null ? "" : request.region());
        subscriber.primary = request.primary();
        subscriber.lastHeardUs = nowUs;
        subscribers.put(from, subscriber);
        return null;
    }

    /** Records a heartbeat; returns false if the observer is not subscribed. */
    boolean heartbeat(long nowUs, String from, boolean primary, boolean inSync) {
        Subscriber subscriber = subscribers.get(from);
        if (subscriber == null) {
            return false;
        }
        subscriber.lastHeardUs = nowUs;
        subscriber.primary = primary;
        if (inSync) {
            subscriber.inSync = true;
            subscriber.pendingPushes.clear();
        }
        return true;
    }

    void unsubscribe(String from) {
        subscribers.remove(from);
    }

    boolean contains(String name) {
        return subscribers.containsKey(name);
    }

    int size() {
        return subscribers.size();
    }

    /** Disregards the time in which this process was suspended, because messages of that time may still be unread. */
    void processWasSuspended(long gapUs) {
        subscribers.values().forEach(subscriber -> subscriber.lastHeardUs += gapUs);
    }

    /** Pushes changed slots to all observers; if there are too many to push, leaves the observers to find them by comparison. */
    void push(long nowUs, List<Slot> slots, long awayUs, MessageSender sender) {
        if (subscribers.isEmpty() || slots.isEmpty()) {
            return;
        }
        if (!pushBucket.take(nowUs, slots.size())) {
            counters.increment("pushes.left_out");
            subscribers.values().forEach(subscriber -> subscriber.inSync = false);
            return;
        }
        for (List<Slot> part : MessageSizes.split(slots, MessageSizes::bytesOf)) {
            long number = ++lastPushNumber;
            List<Order.Key> keys = part.stream().map(Slot::key).toList();
            var message = new ObserveMessage.Push(number, awayUs, part);
            subscribers.forEach((name, subscriber) -> {
                if (subscriber.pendingPushes.size() >= MAX_PENDING_PUSHES_PER_OBSERVER) {
                    subscriber.pendingPushes.clear();
                    subscriber.inSync = false;
                }
                subscriber.pendingPushes.put(number, new PendingPush(keys, nowUs));
                sender.send(name, message);
            });
        }
    }

    void pushAcknowledged(String from, long number) {
        Subscriber subscriber = subscribers.get(from);
        if (subscriber != null) {
            subscriber.pendingPushes.remove(number);
        }
    }

    /** Forgets the observers that have been silent for too long, and repeats the pushes that are not acknowledged. */
    void tick(long nowUs, SlotTable table, long awayUs, MessageSender sender) {
        subscribers.entrySet().removeIf(each -> {
            boolean silent = nowUs - each.getValue().lastHeardUs > settings.silenceUs();
            if (silent) {
                counters.increment("observers.silent");
            }
            return silent;
        });
        subscribers.forEach((name, subscriber) -> repeatPushes(nowUs, name, subscriber, table, awayUs, sender));
    }

    private void repeatPushes(long nowUs, String name, Subscriber subscriber, SlotTable table, long awayUs, MessageSender sender) {
        List<Long> abandoned = new ArrayList<>();
        subscriber.pendingPushes.forEach((number, push) -> {
            if (nowUs - push.sentUs < settings.retransmitUs()) {
                return;
            }
            if (push.attempts >= MAX_PUSH_ATTEMPTS) {
                abandoned.add(number);
                return;
            }
            push.attempts++;
            push.sentUs = nowUs;
            counters.increment("pushes.repeated");
            sender.send(name, new ObserveMessage.Push(number, awayUs, push.keys.stream().map(table::slot).toList()));
        });
        if (!abandoned.isEmpty()) {
            abandoned.forEach(subscriber.pendingPushes::remove);
            subscriber.inSync = false;
        }
    }

    /** Returns the names of the observers that this voter counts: those that have it as their primary feed. */
    Collection<String> counted() {
        Set<String> names = new LinkedHashSet<>();
        subscribers.forEach((name, subscriber) -> {
            if (subscriber.primary) {
                names.add(name);
            }
        });
        return names;
    }

    /** Returns whether an observer is known to hold this voter's slot for a key. */
    boolean holds(String name, Order.Key key) {
        Subscriber subscriber = subscribers.get(name);
        return subscriber != null && subscriber.inSync
                && subscriber.pendingPushes.values().stream().noneMatch(push -> push.keys.contains(key));
    }

    /** Returns the number of observers that this voter counts, by region. */
    Map<String, Integer> countedByRegion() {
        Map<String, Integer> all = new TreeMap<>();
        subscribers.values().stream().filter(subscriber -> subscriber.primary)
                .forEach(subscriber -> all.merge(subscriber.region, 1, Integer::sum));
        return all;
    }
}

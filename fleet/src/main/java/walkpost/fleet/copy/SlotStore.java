package walkpost.fleet.copy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The slots of a shard: owns them, their hash tree, the memory of removed keys, and the sets of slots that have changed since they were
 * last persisted or last reported to the owner.
 */
final class SlotStore {
    private final ShardSettings settings;
    private final ShardCounters counters;
    private final Map<Order.Key, Slot> slots = new LinkedHashMap<>();
    private final HashTree<Order.Key> tree = new HashTree<>();
    /** The time since which no order has been in force for a key, for the removed keys that are still remembered. */
    private final Map<Order.Key, Long> removedAtUs = new LinkedHashMap<>();
    private final Set<Order.Key> unsaved = new LinkedHashSet<>();
    private final Set<Order.Key> unnotified = new LinkedHashSet<>();
    private long nextForgetUs = Long.MIN_VALUE;

    SlotStore(ShardSettings settings, ShardCounters counters) {
        this.settings = settings;
        this.counters = counters;
    }

    /** Returns the slot of a key, or one without history if there is none. */
    Slot slot(Order.Key key) {
        Slot slot = slots.get(key);
        return slot == null ? Slot.empty(key) : slot;
    }

    /** Returns a copy of all slots. */
    List<Slot> slots() {
        return List.copyOf(slots.values());
    }

    HashTree<Order.Key> tree() {
        return tree;
    }

    /** Returns the hash of a key's slot in the hash tree, or null if there is no slot. */
    Long hash(Order.Key key) {
        return tree.hash(key, keyHash(key));
    }

    /**
     * Merges another replica's slot into the slot here.
     *
     * @param removalAgeUs how long ago the other replica learnt that no order is in force in the slot; ignored if one is
     */
    void merge(long nowUs, Slot other, long removalAgeUs) {
        long ageUs = Math.max(removalAgeUs, 0);
        Slot mine = slot(other.key());
        boolean removal = SlotMerge.isRemoved(other);
        if (mine.hasNoHistory() && removal && ageUs >= settings.removedKeyRetentionUs()) {
            return;
        }
        Slot joined = SlotMerge.join(mine, other);
        long sinceUs = nowUs - (removal ? ageUs : 0);
        if (joined.equals(mine)) {
            if (removal) {
                removedAtUs.computeIfPresent(mine.key(), (key, since) -> Math.min(since, sinceUs));
            }
            return;
        }
        mine.heads().stream().filter(head -> head.version() <= joined.floor()).forEach(head -> counters.increment("orders.under_floor"));
        if (joined.heads().size() > 1 && mine.heads().size() < joined.heads().size()) {
            counters.increment("orders.rivals");
        }
        put(joined);
        if (!SlotMerge.isRemoved(joined)) {
            removedAtUs.remove(joined.key());
        } else if (!SlotMerge.isRemoved(mine) || !SlotMerge.headIds(mine).equals(SlotMerge.headIds(joined))) {
            removedAtUs.put(joined.key(), sinceUs);
        } else {
            removedAtUs.merge(joined.key(), sinceUs, Math::min);
        }
    }

    /** Stores a decided order in its slot. */
    void storeDecided(long nowUs, Order order) {
        merge(nowUs, new Slot(order.key(), List.of(order), Map.of(), 0), 0);
    }

    /** Returns whether the memory of removed keys is full. */
    boolean isRemovalMemoryFull() {
        return removedAtUs.size() >= settings.maxRemovedKeys();
    }

    /** Returns how long ago a key was removed, or zero if an order is in force for it. */
    long removalAgeUs(Order.Key key, long nowUs) {
        Long since = removedAtUs.get(key);
        return since == null ? 0 : nowUs - since;
    }

    /** Forgets the removals that are old enough. Checks once in each comparison period. */
    void forgetOldRemovals(long nowUs) {
        if (nowUs < nextForgetUs) {
            return;
        }
        nextForgetUs = nowUs + settings.comparisonPeriodUs();
        List<Order.Key> expired = new ArrayList<>();
        removedAtUs.forEach((key, since) -> {
            if (nowUs - since >= settings.removedKeyRetentionUs()) {
                expired.add(key);
            }
        });
        expired.forEach(this::remove);
    }

    /** Removes all slots. */
    void clear() {
        List.copyOf(slots.keySet()).forEach(this::remove);
    }

    /** Returns the order in effect for each key; its payload is null for removed keys. */
    Map<Order.Key, EffectiveOrder> effectiveOrders() {
        Map<Order.Key, EffectiveOrder> all = new LinkedHashMap<>();
        slots.forEach((key, slot) -> all.put(key, SlotMerge.effectiveOrder(slot)));
        return all;
    }

    /** Returns the slots that have changed since the last call, to be persisted. */
    List<Slot> takeUnsaved() {
        List<Slot> changed = unsaved.stream().map(this::slot).toList();
        unsaved.clear();
        return changed;
    }

    /** Returns the keys whose slots have changed since the last call, to be reported to the owner. */
    List<Order.Key> takeUnnotified() {
        List<Order.Key> changed = List.copyOf(unnotified);
        unnotified.clear();
        return changed;
    }

    private void put(Slot slot) {
        slots.put(slot.key(), slot);
        tree.put(slot.key(), keyHash(slot.key()), SlotMerge.hash(slot));
        unsaved.add(slot.key());
        unnotified.add(slot.key());
    }

    private void remove(Order.Key key) {
        slots.remove(key);
        tree.remove(key, keyHash(key));
        removedAtUs.remove(key);
        unsaved.add(key);
        unnotified.add(key);
    }

    private static long keyHash(Order.Key key) {
        return KeyHash.hash(key.topic(), key.subject());
    }
}

package walkpost.fleet.observe;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.HashTree;
import walkpost.fleet.copy.KeyHash;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.copy.SlotMerge;

/**
 * The slots of all shards in one table, and the hash tree by which an observer and a voter compare them. Owns both.
 *
 * <p>The tree contains only slots with an order in force: members forget removals at different times, so that removals in the tree would
 * make equal replicas look different.
 */
final class SlotTable {
    private final Map<Order.Key, Slot> slots = new LinkedHashMap<>();
    private final HashTree<Order.Key> tree = new HashTree<>();
    private final Map<Order.Key, Long> removedSinceUs = new HashMap<>();

    /** Returns the slot of a key, without history if the table has none. */
    Slot slot(Order.Key key) {
        Slot slot = slots.get(key);
        return slot == null ? Slot.empty(key) : slot;
    }

    HashTree<Order.Key> tree() {
        return tree;
    }

    int size() {
        return slots.size();
    }

    /** Returns the hash of the slot of a key, or null if no order is in force. */
    Long hash(Order.Key key) {
        return tree.hash(key, hashOf(key));
    }

    /** Merges another replica's slot into this one's, which never reverts an order. Returns whether that changed this slot. */
    boolean merge(long nowUs, Slot other) {
        Slot own = slot(other.key());
        Slot merged = SlotMerge.join(own, other);
        if (merged.equals(own)) {
            return false;
        }
        put(nowUs, merged);
        return true;
    }

    /** Replaces the slot of a key; a slot without history is dropped. */
    void put(long nowUs, Slot slot) {
        Order.Key key = slot.key();
        if (slot.hasNoHistory()) {
            drop(key);
            return;
        }
        slots.put(key, slot);
        if (SlotMerge.isRemoved(slot)) {
            tree.remove(key, hashOf(key));
            removedSinceUs.putIfAbsent(key, nowUs);
        } else {
            tree.put(key, hashOf(key), SlotMerge.hash(slot));
            removedSinceUs.remove(key);
        }
    }

    /** Drops the slot of a key. */
    void drop(Order.Key key) {
        slots.remove(key);
        tree.remove(key, hashOf(key));
        removedSinceUs.remove(key);
    }

    /** Forgets the removals of at least this age. */
    void forget(long nowUs, long minAgeUs) {
        List<Order.Key> old = new ArrayList<>();
        removedSinceUs.forEach((key, sinceUs) -> {
            if (nowUs - sinceUs >= minAgeUs) {
                old.add(key);
            }
        });
        old.forEach(this::drop);
    }

    /** Empties the table and returns the keys that were in it. */
    List<Order.Key> clear() {
        List<Order.Key> keys = List.copyOf(slots.keySet());
        keys.forEach(this::drop);
        return keys;
    }

    /** Returns the effective orders by key, including remembered removals. */
    Map<Order.Key, EffectiveOrder> effectiveOrders() {
        Map<Order.Key, EffectiveOrder> all = new LinkedHashMap<>();
        slots.forEach((key, slot) -> all.put(key, SlotMerge.effectiveOrder(slot)));
        return all;
    }

    private static long hashOf(Order.Key key) {
        return KeyHash.hash(key.topic(), key.subject());
    }
}

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
 * The slots of all shards in one place, and the tree of hashes by which an observer and a voter compare them. Owns both.
 *
 * <p>Only what stands is in the tree: removals are forgotten at times that differ between members, and would make them look different.
 */
final class SlotTable {
    private final Map<Order.Key, Slot> slots = new LinkedHashMap<>();
    private final HashTree<Order.Key> tree = new HashTree<>();
    private final Map<Order.Key, Long> removedUs = new HashMap<>();

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

    /** Returns the hash of what stands for a key, or null where nothing does. */
    Long hash(Order.Key key) {
        return tree.hash(key, hashOf(key));
    }

    /** Joins another copy's slot into this one's; returns whether that has changed anything here. Nothing ever goes back. */
    boolean join(long nowUs, Slot other) {
        Slot mine = slot(other.key());
        Slot joined = SlotMerge.join(mine, other);
        if (joined.equals(mine)) {
            return false;
        }
        put(nowUs, joined);
        return true;
    }

    /** Takes a slot as it is; an empty one is dropped. */
    void put(long nowUs, Slot slot) {
        Order.Key key = slot.key();
        if (slot.hasNoHistory()) {
            drop(key);
            return;
        }
        slots.put(key, slot);
        if (SlotMerge.isRemoved(slot)) {
            tree.remove(key, hashOf(key));
            removedUs.putIfAbsent(key, nowUs);
        } else {
            tree.put(key, hashOf(key), SlotMerge.hash(slot));
            removedUs.remove(key);
        }
    }

    /** Takes a key's slot out. */
    void drop(Order.Key key) {
        slots.remove(key);
        tree.remove(key, hashOf(key));
        removedUs.remove(key);
    }

    /** Forgets removals that are older than this. */
    void forget(long nowUs, long olderUs) {
        List<Order.Key> old = new ArrayList<>();
        removedUs.forEach((key, since) -> {
            if (nowUs - since >= olderUs) {
                old.add(key);
            }
        });
        old.forEach(this::drop);
    }

    /** Empties the table; returns the keys that were in it. */
    List<Order.Key> clear() {
        List<Order.Key> keys = List.copyOf(slots.keySet());
        keys.forEach(this::drop);
        return keys;
    }

    Map<Order.Key, EffectiveOrder> effectiveOrders() {
        Map<Order.Key, EffectiveOrder> all = new LinkedHashMap<>();
        slots.forEach((key, slot) -> all.put(key, SlotMerge.effectiveOrder(slot)));
        return all;
    }

    private static long hashOf(Order.Key key) {
        return KeyHash.hash(key.topic(), key.subject());
    }
}

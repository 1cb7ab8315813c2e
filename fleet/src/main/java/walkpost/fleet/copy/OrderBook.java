package walkpost.fleet.copy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The slots of a shard: owns them, their tree of hashes, the memory of removals, and what of them is not yet on disk or told. */
final class OrderBook {
    private final CopySettings settings;
    private final Figures figures;
    private final Map<Order.Key, Slot> slots = new LinkedHashMap<>();
    private final HashTree<Order.Key> tree = new HashTree<>();
    /** Since when nothing has stood for a key, for those keys of which that is still remembered. */
    private final Map<Order.Key, Long> removedUs = new LinkedHashMap<>();
    private final Set<Order.Key> unsaved = new LinkedHashSet<>();
    private final Set<Order.Key> untold = new LinkedHashSet<>();
    private long nextForgetUs = Long.MIN_VALUE;

    OrderBook(CopySettings settings, Figures figures) {
        this.settings = settings;
        this.figures = figures;
    }

    /** Returns a key's slot, an empty one where there is none. */
    Slot slot(Order.Key key) {
        Slot slot = slots.get(key);
        return slot == null ? Slot.empty(key) : slot;
    }

    /** Returns all slots; a copy. */
    List<Slot> slots() {
        return List.copyOf(slots.values());
    }

    HashTree<Order.Key> tree() {
        return tree;
    }

    /** Returns the hash of a key's slot in the tree, or null. */
    Long hash(Order.Key key) {
        return tree.hash(key, keyHash(key));
    }

    /** Joins another copy of a slot into this one. {@code removedUs} is how old a removal is, where nothing stands in it. */
    void merge(long nowUs, Slot other, long removedAgeUs) {
        long ageUs = Math.max(removedAgeUs, 0);
        Slot mine = slot(other.key());
        boolean removal = SlotRule.removed(other);
        if (mine.none() && removal && ageUs >= settings.removalUs()) {
            return;
        }
        Slot joined = SlotRule.join(mine, other);
        long sinceUs = nowUs - (removal ? ageUs : 0);
        if (joined.equals(mine)) {
            if (removal) {
                removedUs.computeIfPresent(mine.key(), (key, since) -> Math.min(since, sinceUs));
            }
            return;
        }
        mine.heads().stream().filter(head -> head.version() <= joined.floor()).forEach(head -> figures.count("orders.under_floor"));
        if (joined.heads().size() > 1 && mine.heads().size() < joined.heads().size()) {
            figures.count("orders.rivals");
        }
        put(joined);
        if (!SlotRule.removed(joined)) {
            removedUs.remove(joined.key());
        } else if (!SlotRule.removed(mine) || !SlotRule.ids(mine).equals(SlotRule.ids(joined))) {
            removedUs.put(joined.key(), sinceUs);
        } else {
            removedUs.merge(joined.key(), sinceUs, Math::min);
        }
    }

    /** Puts an order that is decided into its slot. */
    void decide(long nowUs, Order order) {
        merge(nowUs, new Slot(order.key(), List.of(order), Map.of(), 0), 0);
    }

    /** Returns whether no further removal can be remembered. */
    boolean full() {
        return removedUs.size() >= settings.removals();
    }

    /** Returns how long a removal has been known; zero where something stands. */
    long removedUs(Order.Key key, long nowUs) {
        Long since = removedUs.get(key);
        return since == null ? 0 : nowUs - since;
    }

    /** Forgets removals that are old enough; looks once in a period of comparing. */
    void forget(long nowUs) {
        if (nowUs < nextForgetUs) {
            return;
        }
        nextForgetUs = nowUs + settings.compareUs();
        List<Order.Key> old = new ArrayList<>();
        removedUs.forEach((key, since) -> {
            if (nowUs - since >= settings.removalUs()) {
                old.add(key);
            }
        });
        old.forEach(this::drop);
    }

    /** Empties the copy. */
    void clear() {
        List.copyOf(slots.keySet()).forEach(this::drop);
    }

    /** Returns what stands, by key. */
    Map<Order.Key, Acting> acting() {
        Map<Order.Key, Acting> all = new LinkedHashMap<>();
        slots.forEach((key, slot) -> all.put(key, SlotRule.acting(slot)));
        return all;
    }

    /** Takes out the slots that have changed since they were last taken out, to be put on disk. */
    List<Slot> takeUnsaved() {
        List<Slot> taken = unsaved.stream().map(this::slot).toList();
        unsaved.clear();
        return taken;
    }

    /** Takes out the keys whose slots have changed since they were last taken out, to be told. */
    List<Order.Key> takeUntold() {
        List<Order.Key> taken = List.copyOf(untold);
        untold.clear();
        return taken;
    }

    private void put(Slot slot) {
        slots.put(slot.key(), slot);
        tree.put(slot.key(), keyHash(slot.key()), SlotRule.hash(slot));
        unsaved.add(slot.key());
        untold.add(slot.key());
    }

    private void drop(Order.Key key) {
        slots.remove(key);
        tree.remove(key, keyHash(key));
        removedUs.remove(key);
        unsaved.add(key);
        untold.add(key);
    }

    private static long keyHash(Order.Key key) {
        return Shards.hash(key.topic(), key.subject());
    }
}

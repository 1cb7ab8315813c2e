package walkpost.fleet.observe;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import walkpost.fleet.copy.HashTree;
import walkpost.fleet.copy.MessageSizes;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Slot;

/**
 * How an observer finds out what it misses, or has more of, than a level voter: owns the one comparison that is under way. Nodes that
 * differ are gone through some at a time, and what is missing is fetched some at a time, so that a voter that many observers compare
 * themselves with has little to do for each at once. A comparison that gets lost is begun anew with the next beat.
 */
final class SlotSyncClient {
    /** Without a step for so long it is given up. */
    private static final long PATIENCE_US = 1_000_000;
    private static final int NODES_AT_ONCE = 4;
    private static final int KEYS_AT_ONCE = 128;

    private final SlotTable table;
    private final ObserveCounters counters;
    private final long seed;
    private String with;
    private long seq;
    private long movedUs;
    private BitSet parts;
    /** Whether the copy here has changed by it: then it is worth comparing again at once. */
    private boolean gained;
    private final Map<Order.Key, Long> theirs = new HashMap<>();
    private final Set<Integer> leaves = new LinkedHashSet<>();
    private final List<Order.Key> wanted = new ArrayList<>();
    private final Set<Order.Key> asked = new HashSet<>();

    SlotSyncClient(SlotTable table, ObserveCounters counters, long seed) {
        this.table = table;
        this.counters = counters;
        this.seed = seed;
    }

    /** Begins, where nothing is under way: the nodes of a voter's tree differ from those here. */
    void nodes(long nowUs, String voter, long beat, long[] nodes, MessageSender sender) {
        if (nodes.length != HashTree.WIDTH || with != null && nowUs - movedUs < PATIENCE_US) {
            return;
        }
        long[] mine = table.tree().nodes();
        // Each observer begins somewhere else, so that what all of them have and the voters lost is offered in different parts.
        int[] differing = new int[NODES_AT_ONCE];
        int count = 0;
        int first = (int) Math.floorMod(seed, (long) HashTree.WIDTH);
        for (int i = 0; i < HashTree.WIDTH && count < NODES_AT_ONCE; i++) {
            int node = (first + i) % HashTree.WIDTH;
            if (mine[node] != nodes[node]) {
                differing[count++] = node;
            }
        }
        if (count == 0) {
            return;
        }
        end();
        with = voter;
        seq = beat;
        movedUs = nowUs;
        int[] asking = Arrays.copyOf(differing, count);
        long[] under = new long[count * HashTree.WIDTH];
        for (int i = 0; i < count; i++) {
            System.arraycopy(table.tree().leaves(asking[i]), 0, under, i * HashTree.WIDTH, HashTree.WIDTH);
        }
        counters.increment("compared.differing");
        sender.send(voter, new ObserveMessage.Leaves(seq, asking, under));
    }

    /**
     * What stands at the voter in the leaves that differ. Returns whether the comparison is over and the copy here has changed by it.
     *
     * @param awayUs since when this copy is not known to be the fleet's. Where it never was, nobody would take what it has more of, and
     *     it has acted on nothing of it: the voter's slots are taken in place of its own
     */
    boolean stamps(long nowUs, String from, ObserveMessage.Stamps stamps, long awayUs, MessageSender sender) {
        if (!from.equals(with) || stamps.seq() != seq || !MessageSizes.isValidPart(stamps.part(), stamps.parts())) {
            return false;
        }
        movedUs = nowUs;
        if (parts == null) {
            parts = new BitSet();
        }
        parts.set(stamps.part());
        for (int leaf : stamps.leaves()) {
            if (leaf >= 0 && leaf < HashTree.WIDTH * HashTree.WIDTH) {
                leaves.add(leaf);
            }
        }
        stamps.stamps().forEach(stamp -> theirs.put(stamp.key(), stamp.hash()));
        if (parts.cardinality() < stamps.parts()) {
            return false;
        }
        theirs.forEach((key, hash) -> {
            if (!hash.equals(table.hash(key))) {
                wanted.add(key);
            }
        });
        if (awayUs < Observer.NEVER_US) {
            offer(awayUs, sender);
        } else {
            wanted.forEach(table::drop);
            List<Order.Key> more = more().stream().map(Slot::key).toList();
            more.forEach(table::drop);
            gained |= !more.isEmpty();
        }
        return next(nowUs, sender);
    }

    /**
     * Slots that were asked for have come and are joined, which changed the copy here or not. Returns whether the comparison is over and
     * it was changed.
     */
    boolean slots(long nowUs, String from, List<Slot> slots, boolean changed, MessageSender sender) {
        if (!from.equals(with)) {
            return false;
        }
        gained |= changed;
        slots.forEach(slot -> asked.remove(slot.key()));
        movedUs = nowUs;
        return asked.isEmpty() && parts != null && next(nowUs, sender);
    }

    /** What goes beyond the voter's slot, once that is joined into the one here, is offered in turn. */
    void more(String to, long awayUs, List<Slot> joined, MessageSender sender) {
        MessageSizes.split(joined, MessageSizes::bytesOf).forEach(part -> sender.send(to, new ObserveMessage.Offer(awayUs, part)));
    }

    private boolean next(long nowUs, MessageSender sender) {
        if (wanted.isEmpty()) {
            boolean better = gained;
            end();
            return better;
        }
        List<Order.Key> asking = List.copyOf(wanted.subList(0, Math.min(KEYS_AT_ONCE, wanted.size())));
        wanted.subList(0, asking.size()).clear();
        asked.addAll(asking);
        movedUs = nowUs;
        sender.send(with, new ObserveMessage.Want(seq, asking));
        return false;
    }

    /** Offers what stands here and not at the voter: one message of it, as others may have the rest. */
    private void offer(long awayUs, MessageSender sender) {
        List<Slot> more = more();
        if (!more.isEmpty()) {
            List<List<Slot>> all = MessageSizes.split(more, MessageSizes::bytesOf);
            sender.send(with, new ObserveMessage.Offer(awayUs, all.get((int) Math.floorMod(seed + seq, (long) all.size()))));
            counters.increment("offers");
        }
    }

    /** Returns what stands here, in the leaves that differ, and not at the voter. */
    private List<Slot> more() {
        List<Slot> more = new ArrayList<>();
        for (int leaf : leaves) {
            table.tree().entries(leaf).keySet().stream().filter(key -> !theirs.containsKey(key)).map(table::slot).forEach(more::add);
        }
        return more;
    }

    private void end() {
        with = null;
        gained = false;
        parts = null;
        theirs.clear();
        leaves.clear();
        wanted.clear();
        asked.clear();
    }
}

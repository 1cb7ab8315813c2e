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
 * The observer's side of the anti-entropy between observers and voters: finds the slots that the observer lacks, or holds more of than a
 * caught-up voter, and owns the one comparison under way. A comparison covers some of the nodes that differ, and fetches some of the
 * missing slots at a time, so that a voter with which many observers compare has little to do for each of them at once. If a
 * message of a comparison is lost, the comparison restarts with the next heartbeat.
 */
final class SlotSyncClient {
    /** A comparison without progress for this time is abandoned. */
    private static final long TIMEOUT_US = 1_000_000;
    private static final int MAX_NODES_PER_COMPARISON = 4;
    private static final int MAX_KEYS_PER_FETCH = 128;

    private final SlotTable table;
    private final ObserveCounters counters;
    private final long seed;
    /** The voter of the comparison under way; null if there is none. */
    private String voter;
    private long seq;
    private long lastProgressUs;
    /** The parts of the digests that have arrived; null if none has. */
    private BitSet partsReceived;
    /** Whether the comparison has changed the replica, so that it pays to compare again at once. */
    private boolean replicaChanged;
    private final Map<Order.Key, Long> voterDigests = new HashMap<>();
    private final Set<Integer> differingLeaves = new LinkedHashSet<>();
    private final List<Order.Key> toFetch = new ArrayList<>();
    private final Set<Order.Key> requested = new HashSet<>();

    SlotSyncClient(SlotTable table, ObserveCounters counters, long seed) {
        this.table = table;
        this.counters = counters;
        this.seed = seed;
    }

    /** Begins a comparison with a voter whose node hashes are given, unless one is under way. */
    void begin(long nowUs, String from, long heartbeatSeq, long[] nodes, MessageSender sender) {
        if (nodes.length != HashTree.WIDTH || voter != null && nowUs - lastProgressUs < TIMEOUT_US) {
            return;
        }
        long[] ownNodes = table.tree().nodes();
        // Each observer starts at a different node, so that the observers together offer all parts of what the voters have lost.
        int[] differing = new int[MAX_NODES_PER_COMPARISON];
        int count = 0;
        int first = (int) Math.floorMod(seed, (long) HashTree.WIDTH);
        for (int i = 0; i < HashTree.WIDTH && count < MAX_NODES_PER_COMPARISON; i++) {
            int node = (first + i) % HashTree.WIDTH;
            if (ownNodes[node] != nodes[node]) {
                differing[count++] = node;
            }
        }
        if (count == 0) {
            return;
        }
        end();
        voter = from;
        seq = heartbeatSeq;
        lastProgressUs = nowUs;
        int[] nodesToCompare = Arrays.copyOf(differing, count);
        long[] leafHashes = new long[count * HashTree.WIDTH];
        for (int i = 0; i < count; i++) {
            System.arraycopy(table.tree().leaves(nodesToCompare[i]), 0, leafHashes, i * HashTree.WIDTH, HashTree.WIDTH);
        }
        counters.increment("compared.differing");
        sender.send(voter, new ObserveMessage.LeafHashes(seq, nodesToCompare, leafHashes));
    }

    /**
     * Takes a part of the digests of the voter's slots. Returns whether the comparison is over and has changed the replica.
     *
     * @param awayUs the time since the replica was last known to be in sync. If it never was, the voter's slots replace its own in the
     *     leaves that differ, because no voter would accept an offer from it and the process has not acted on any of its slots
     */
    boolean receiveDigests(long nowUs, String from, ObserveMessage.SlotDigests digests, long awayUs, MessageSender sender) {
        if (!from.equals(voter) || digests.seq() != seq || !MessageSizes.isValidPart(digests.part(), digests.parts())) {
            return false;
        }
        lastProgressUs = nowUs;
        if (partsReceived == null) {
            partsReceived = new BitSet();
        }
        partsReceived.set(digests.part());
        for (int leaf : digests.leaves()) {
            if (leaf >= 0 && leaf < HashTree.WIDTH * HashTree.WIDTH) {
                differingLeaves.add(leaf);
            }
        }
        digests.stamps().forEach(digest -> voterDigests.put(digest.key(), digest.hash()));
        if (partsReceived.cardinality() < digests.parts()) {
            return false;
        }
        voterDigests.forEach((key, hash) -> {
            if (!hash.equals(table.hash(key))) {
                toFetch.add(key);
            }
        });
        if (awayUs < Observer.NEVER_US) {
            offerSomeExtraSlots(awayUs, sender);
        } else {
            toFetch.forEach(table::drop);
            List<Order.Key> extraKeys = extraSlots().stream().map(Slot::key).toList();
            extraKeys.forEach(table::drop);
            replicaChanged |= !extraKeys.isEmpty();
        }
        return fetchNext(nowUs, sender);
    }

    /**
     * Notes that requested slots have arrived and were merged, and whether that changed the replica. Returns whether the comparison is
     * over and has changed the replica.
     */
    boolean receiveSlots(long nowUs, String from, List<Slot> slots, boolean changed, MessageSender sender) {
        if (!from.equals(voter)) {
            return false;
        }
        replicaChanged |= changed;
        slots.forEach(slot -> requested.remove(slot.key()));
        lastProgressUs = nowUs;
        return requested.isEmpty() && partsReceived != null && fetchNext(nowUs, sender);
    }

    /** Offers slots to a voter that holds less of them than this replica. */
    void offer(String to, long awayUs, List<Slot> slots, MessageSender sender) {
        MessageSizes.split(slots, MessageSizes::bytesOf).forEach(part -> sender.send(to, new ObserveMessage.Offer(awayUs, part)));
    }

    /** Requests the next slots. Returns whether none are left and the comparison has changed the replica. */
    private boolean fetchNext(long nowUs, MessageSender sender) {
        if (toFetch.isEmpty()) {
            boolean changed = replicaChanged;
            end();
            return changed;
        }
        List<Order.Key> keys = List.copyOf(toFetch.subList(0, Math.min(MAX_KEYS_PER_FETCH, toFetch.size())));
        toFetch.subList(0, keys.size()).clear();
        requested.addAll(keys);
        lastProgressUs = nowUs;
        sender.send(voter, new ObserveMessage.FetchRequest(seq, keys));
        return false;
    }

    /** Offers one message of slots that the voter lacks; other observers may offer the rest. */
    private void offerSomeExtraSlots(long awayUs, MessageSender sender) {
        List<Slot> extra = extraSlots();
        if (!extra.isEmpty()) {
            List<List<Slot>> parts = MessageSizes.split(extra, MessageSizes::bytesOf);
            sender.send(voter, new ObserveMessage.Offer(awayUs, parts.get((int) Math.floorMod(seed + seq, (long) parts.size()))));
            counters.increment("offers");
        }
    }

    /** Returns the slots with an order in force that this replica holds in the leaves that differ, and the voter lacks. */
    private List<Slot> extraSlots() {
        List<Slot> extra = new ArrayList<>();
        for (int leaf : differingLeaves) {
            table.tree().entries(leaf).keySet().stream().filter(key -> !voterDigests.containsKey(key)).map(table::slot).forEach(extra::add);
        }
        return extra;
    }

    private void end() {
        voter = null;
        replicaChanged = false;
        partsReceived = null;
        voterDigests.clear();
        differingLeaves.clear();
        toFetch.clear();
        requested.clear();
    }
}

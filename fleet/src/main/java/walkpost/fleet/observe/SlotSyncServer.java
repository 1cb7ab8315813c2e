package walkpost.fleet.observe;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import walkpost.fleet.copy.HashTree;
import walkpost.fleet.copy.MessageSizes;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.ShardMessage;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.copy.SlotMerge;

/**
 * The voter's side of the anti-entropy between observers and voters: answers the observers' comparisons from the slot table, without
 * state for a comparison.
 */
final class SlotSyncServer {
    private static final long[] NO_NODES = {};
    private static final int MAX_KEYS_PER_FETCH = 256;
    /** The bound on offer messages from all observers together; an offer beyond it is dropped, and the observer sends it again. */
    private static final int MAX_OFFERS_PER_SECOND = 50;

    private final ObserveSettings settings;
    private final SlotTable table;
    private final ObserveCounters counters;
    private final TokenBucket offerBucket = new TokenBucket(MAX_OFFERS_PER_SECOND);

    SlotSyncServer(ObserveSettings settings, SlotTable table, ObserveCounters counters) {
        this.settings = settings;
        this.table = table;
        this.counters = counters;
    }

    boolean isEqual(long root) {
        return root == table.tree().root();
    }

    /** Returns the node hashes for an observer with this root hash to compare; none if the root hashes are equal. */
    long[] differingNodes(long root) {
        return isEqual(root) ? NO_NODES : table.tree().nodes();
    }

    /** Compares an observer's leaf hashes and sends the digests of this voter's slots in the leaves that differ. */
    void compareLeaves(String from, ObserveMessage.LeafHashes request, MessageSender sender) {
        int nodes = request.nodes().length;
        if (nodes > HashTree.WIDTH || request.leaves().length != nodes * HashTree.WIDTH) {
            counters.increment("dropped.malformed");
            return;
        }
        List<Integer> differing = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            int node = request.nodes()[i];
            if (node < 0 || node >= HashTree.WIDTH) {
                counters.increment("dropped.malformed");
                return;
            }
            long[] ownLeaves = table.tree().leaves(node);
            for (int j = 0; j < HashTree.WIDTH; j++) {
                if (ownLeaves[j] != request.leaves()[i * HashTree.WIDTH + j]) {
                    differing.add(node * HashTree.WIDTH + j);
                }
            }
        }
        List<ShardMessage.SlotDigest> digests = new ArrayList<>();
        differing.forEach(leaf -> table.tree().entries(leaf).forEach((key, hash) -> digests.add(new ShardMessage.SlotDigest(key, hash))));
        List<List<ShardMessage.SlotDigest>> parts = MessageSizes.split(digests, digest -> 32 + MessageSizes.bytesOf(digest.key()));
        if (parts.isEmpty()) {
            parts.add(List.of());
        }
        int[] leafNumbers = differing.stream().mapToInt(Integer::intValue).toArray();
        for (int part = 0; part < parts.size(); part++) {
            sender.send(from, new ObserveMessage.SlotDigests(request.seq(), part, parts.size(), leafNumbers, parts.get(part)));
        }
    }

    /** Sends the requested slots. */
    void sendSlots(String from, ObserveMessage.FetchRequest request, long awayUs, MessageSender sender) {
        List<Slot> slots = new ArrayList<>();
        for (Order.Key key : request.keys().subList(0, Math.min(MAX_KEYS_PER_FETCH, request.keys().size()))) {
            slots.addAll(SlotMerge.split(table.slot(key), null));
        }
        MessageSizes.split(slots, MessageSizes::bytesOf)
                .forEach(part -> sender.send(from, new ObserveMessage.Slots(request.seq(), awayUs, part)));
    }

    /** Returns the offered slots in which the observer holds more than this voter; sends the slots in which this voter holds more. */
    List<Slot> receiveOffer(long nowUs, String from, ObserveMessage.Offer offer, long awayUs, MessageSender sender) {
        boolean tooOld = offer.awayUs() < 0 || offer.awayUs() > settings.removalUs() / 2;
        if (tooOld || !offerBucket.take(nowUs, 1)) {
            // Orders that were removed while an old replica was away would come back with it.
            counters.increment(tooOld ? "offers.refused_old" : "offers.refused_many");
            return List.of();
        }
        Set<Slot> observerHasMore = offer.slots().stream()
                .filter(slot -> !SlotMerge.join(table.slot(slot.key()), slot).equals(table.slot(slot.key())))
                .collect(Collectors.toSet());
        List<Slot> voterHasMore = offer.slots().stream().map(slot -> SlotMerge.join(table.slot(slot.key()), slot))
                .filter(merged -> offer.slots().stream().noneMatch(slot -> slot.equals(merged))).toList();
        MessageSizes.split(voterHasMore, MessageSizes::bytesOf)
                .forEach(part -> sender.send(from, new ObserveMessage.Slots(0, awayUs, part)));
        return List.copyOf(observerHasMore);
    }
}

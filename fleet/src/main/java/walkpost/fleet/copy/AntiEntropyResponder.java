package walkpost.fleet.copy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * The answering side of anti-entropy: answers members that compare their replica of the shard with this one. Keeps no state of its own,
 * and only reads the replica.
 */
final class AntiEntropyResponder {
    private static final long[] EQUAL = {};

    private final CatchUpState catchUpState;
    private final SlotStore slotStore;
    private final EntryStore entryStore;

    AntiEntropyResponder(CatchUpState catchUpState, SlotStore slotStore, EntryStore entryStore) {
        this.catchUpState = catchUpState;
        this.slotStore = slotStore;
        this.entryStore = entryStore;
    }

    /** Answers with the node hashes of each tree whose root differs from the requester's. */
    void answerCompareRoots(long nowUs, String from, ShardMessage.CompareRoots request, Outbox out) {
        long[] slotNodes = request.slots() == slotStore.tree().root() ? EQUAL : slotStore.tree().nodes();
        long[] entryNodes = request.facts() == null || request.facts() == entryStore.tree().root() ? EQUAL : entryStore.tree().nodes();
        out.send(from, new ShardMessage.NodeHashes(request.round(), catchUpState.awayUs(nowUs), slotNodes, entryNodes));
    }

    /** Answers with the digests of all slots and entries in the leaves that differ from the requester's. */
    void answerLeafHashes(String from, ShardMessage.LeafHashes request, Outbox out) {
        if (request.slotNodes().length > 0) {
            List<ShardMessage.SlotDigest> digests = new ArrayList<>();
            for (int leaf : differing(slotStore.tree(), request.slotNodes(), request.slots())) {
                slotStore.tree().entries(leaf).forEach((key, hash) -> digests.add(new ShardMessage.SlotDigest(key, hash)));
            }
            List<List<ShardMessage.SlotDigest>> parts = MessageSizes.split(digests, digest -> 32 + MessageSizes.bytesOf(digest.key()));
            // An answer without digests is sent as well: it tells the requester that this replica has no slot that the requester lacks.
            if (parts.isEmpty()) {
                parts.add(List.of());
            }
            for (int part = 0; part < parts.size(); part++) {
                out.send(from, new ShardMessage.SlotDigests(request.round(), part, parts.size(), parts.get(part)));
            }
        }
        List<ShardMessage.EntryDigest> digests = new ArrayList<>();
        for (int leaf : differing(entryStore.tree(), request.factNodes(), request.facts())) {
            entryStore.tree().entries(leaf).keySet().forEach(key -> digests.add(entryStore.digest(key)));
        }
        MessageSizes.split(digests, digest -> 64 + MessageSizes.bytesOf(digest.key()))
                .forEach(part -> out.send(from, new ShardMessage.EntryDigests(request.round(), part)));
    }

    /** Answers with the slots and entries of the keys requested. */
    void answerFetchRequest(long nowUs, String from, ShardMessage.FetchRequest request, Outbox out) {
        List<ShardMessage.AgedSlot> slots = new ArrayList<>();
        for (Order.Key key : request.slots()) {
            SlotMerge.split(slotStore.slot(key), null)
                    .forEach(part -> slots.add(new ShardMessage.AgedSlot(part, slotStore.removalAgeUs(key, nowUs))));
        }
        MessageSizes.split(slots, aged -> 24 + MessageSizes.bytesOf(aged.slot()))
                .forEach(part -> out.send(from, new ShardMessage.Slots(catchUpState.awayUs(nowUs), part)));
        List<Entry> entries = request.facts().stream().map(key -> entryStore.get(key, nowUs)).filter(Objects::nonNull).toList();
        MessageSizes.split(entries, MessageSizes::bytesOf).forEach(part -> out.send(from, new ShardMessage.Entries(true, part)));
    }

    /** Returns the leaves, among those below {@code nodes}, whose hash differs from the requester's. */
    private static <K> List<Integer> differing(HashTree<K> tree, int[] nodes, long[] theirLeaves) {
        List<Integer> differing = new ArrayList<>();
        for (int i = 0; i < nodes.length && (i + 1) * HashTree.WIDTH <= theirLeaves.length && nodes.length <= HashTree.WIDTH; i++) {
            if (nodes[i] < 0 || nodes[i] >= HashTree.WIDTH) {
                continue;
            }
            long[] mine = tree.leaves(nodes[i]);
            long[] theirs = Arrays.copyOfRange(theirLeaves, i * HashTree.WIDTH, (i + 1) * HashTree.WIDTH);
            for (int j = 0; j < HashTree.WIDTH; j++) {
                if (mine[j] != theirs[j]) {
                    differing.add(nodes[i] * HashTree.WIDTH + j);
                }
            }
        }
        return differing;
    }
}

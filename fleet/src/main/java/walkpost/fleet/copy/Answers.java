package walkpost.fleet.copy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * The answering side of anti-entropy: answers members that compare their replica of the shard with this one. Keeps no state of its own,
 * and only reads the replica.
 */
final class Answers {
    private static final long[] EQUAL = {};

    private final Touch catchUpState;
    private final OrderBook slotStore;
    private final FactBook entryStore;

    Answers(Touch catchUpState, OrderBook slotStore, FactBook entryStore) {
        this.catchUpState = catchUpState;
        this.slotStore = slotStore;
        this.entryStore = entryStore;
    }

    /** Answers with the node hashes of each tree whose root differs from the requester's. */
    void compare(long nowUs, String from, CopyMessage.Compare request, Outbox out) {
        long[] slotNodes = request.slots() == slotStore.tree().root() ? EQUAL : slotStore.tree().nodes();
        long[] entryNodes = request.facts() == null || request.facts() == entryStore.tree().root() ? EQUAL : entryStore.tree().nodes();
        out.send(from, new CopyMessage.Nodes(request.round(), catchUpState.awayUs(nowUs), slotNodes, entryNodes));
    }

    /** Answers with the digests of all slots and entries in the leaves that differ from the requester's. */
    void leaves(String from, CopyMessage.Leaves request, Outbox out) {
        if (request.slotNodes().length > 0) {
            List<CopyMessage.SlotStamp> digests = new ArrayList<>();
            for (int leaf : differing(slotStore.tree(), request.slotNodes(), request.slots())) {
                slotStore.tree().entries(leaf).forEach((key, hash) -> digests.add(new CopyMessage.SlotStamp(key, hash)));
            }
            List<List<CopyMessage.SlotStamp>> parts = Sizes.parts(digests, digest -> 32 + Sizes.of(digest.key()));
            // An answer without digests is sent as well: it tells the requester that this replica has no slot that the requester lacks.
            if (parts.isEmpty()) {
                parts.add(List.of());
            }
            for (int part = 0; part < parts.size(); part++) {
                out.send(from, new CopyMessage.SlotStamps(request.round(), part, parts.size(), parts.get(part)));
            }
        }
        List<CopyMessage.FactStamp> digests = new ArrayList<>();
        for (int leaf : differing(entryStore.tree(), request.factNodes(), request.facts())) {
            entryStore.tree().entries(leaf).keySet().forEach(key -> digests.add(entryStore.stamp(key)));
        }
        Sizes.parts(digests, digest -> 64 + Sizes.of(digest.key()))
                .forEach(part -> out.send(from, new CopyMessage.FactStamps(request.round(), part)));
    }

    /** Answers with the slots and entries of the keys requested. */
    void want(long nowUs, String from, CopyMessage.Want request, Outbox out) {
        List<CopyMessage.Aged> slots = new ArrayList<>();
        for (Order.Key key : request.slots()) {
            SlotRule.parts(slotStore.slot(key), null)
                    .forEach(part -> slots.add(new CopyMessage.Aged(part, slotStore.removedUs(key, nowUs))));
        }
        Sizes.parts(slots, aged -> 24 + Sizes.of(aged.slot()))
                .forEach(part -> out.send(from, new CopyMessage.Slots(catchUpState.awayUs(nowUs), part)));
        List<Fact> entries = request.facts().stream().map(key -> entryStore.get(key, nowUs)).filter(Objects::nonNull).toList();
        Sizes.parts(entries, Sizes::of).forEach(part -> out.send(from, new CopyMessage.Facts(true, part)));
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

package walkpost.fleet.copy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/** What a shard answers to others that compare themselves with it. Owns nothing: it reads the copy. */
final class Answers {
    private static final long[] EQUAL = {};

    private final Touch touch;
    private final OrderBook book;
    private final FactBook facts;

    Answers(Touch touch, OrderBook book, FactBook facts) {
        this.touch = touch;
        this.book = book;
        this.facts = facts;
    }

    void compare(long nowUs, String from, CopyMessage.Compare asked, Outbox out) {
        long[] slots = asked.slots() == book.tree().root() ? EQUAL : book.tree().nodes();
        long[] others = asked.facts() == null || asked.facts() == facts.tree().root() ? EQUAL : facts.tree().nodes();
        out.send(from, new CopyMessage.Nodes(asked.round(), touch.awayUs(nowUs), slots, others));
    }

    void leaves(String from, CopyMessage.Leaves asked, Outbox out) {
        if (asked.slotNodes().length > 0) {
            List<CopyMessage.SlotStamp> stamps = new ArrayList<>();
            for (int leaf : differing(book.tree(), asked.slotNodes(), asked.slots())) {
                book.tree().entries(leaf).forEach((key, hash) -> stamps.add(new CopyMessage.SlotStamp(key, hash)));
            }
            List<List<CopyMessage.SlotStamp>> parts = Sizes.parts(stamps, stamp -> 32 + Sizes.of(stamp.key()));
            // No stamp at all is an answer as well: here is nothing that the asker has not.
            if (parts.isEmpty()) {
                parts.add(List.of());
            }
            for (int part = 0; part < parts.size(); part++) {
                out.send(from, new CopyMessage.SlotStamps(asked.round(), part, parts.size(), parts.get(part)));
            }
        }
        List<CopyMessage.FactStamp> stamps = new ArrayList<>();
        for (int leaf : differing(facts.tree(), asked.factNodes(), asked.facts())) {
            facts.tree().entries(leaf).keySet().forEach(key -> stamps.add(facts.stamp(key)));
        }
        Sizes.parts(stamps, stamp -> 64 + Sizes.of(stamp.key()))
                .forEach(part -> out.send(from, new CopyMessage.FactStamps(asked.round(), part)));
    }

    void want(long nowUs, String from, CopyMessage.Want asked, Outbox out) {
        List<CopyMessage.Aged> slots = new ArrayList<>();
        for (Order.Key key : asked.slots()) {
            SlotRule.parts(book.slot(key), null).forEach(part -> slots.add(new CopyMessage.Aged(part, book.removedUs(key, nowUs))));
        }
        Sizes.parts(slots, aged -> 24 + Sizes.of(aged.slot()))
                .forEach(part -> out.send(from, new CopyMessage.Slots(touch.awayUs(nowUs), part)));
        List<Fact> found = asked.facts().stream().map(key -> facts.get(key, nowUs)).filter(Objects::nonNull).toList();
        Sizes.parts(found, Sizes::of).forEach(part -> out.send(from, new CopyMessage.Facts(true, part)));
    }

    /** Returns those leaves of a tree that are not as the asker has them. */
    private static <K> List<Integer> differing(HashTree<K> tree, int[] nodes, long[] asked) {
        List<Integer> differing = new ArrayList<>();
        for (int i = 0; i < nodes.length && (i + 1) * HashTree.WIDTH <= asked.length && nodes.length <= HashTree.WIDTH; i++) {
            if (nodes[i] < 0 || nodes[i] >= HashTree.WIDTH) {
                continue;
            }
            long[] mine = tree.leaves(nodes[i]);
            long[] theirs = Arrays.copyOfRange(asked, i * HashTree.WIDTH, (i + 1) * HashTree.WIDTH);
            for (int j = 0; j < HashTree.WIDTH; j++) {
                if (mine[j] != theirs[j]) {
                    differing.add(nodes[i] * HashTree.WIDTH + j);
                }
            }
        }
        return differing;
    }
}

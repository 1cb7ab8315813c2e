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

/** What a voter answers to observers that compare themselves with it. Reads the table and keeps nothing of a comparison. */
final class SlotSyncServer {
    private static final long[] EQUAL = {};
    private static final int MOST_KEYS = 256;
    /** Messages of offers that are looked at in a second, from all observers: whatever is left out is offered again. */
    private static final int OFFERS_PER_SECOND = 50;

    private final ObserveSettings settings;
    private final SlotTable table;
    private final ObserveCounters counters;
    private final TokenBucket offers = new TokenBucket(OFFERS_PER_SECOND);

    SlotSyncServer(ObserveSettings settings, SlotTable table, ObserveCounters counters) {
        this.settings = settings;
        this.table = table;
        this.counters = counters;
    }

    boolean equal(long root) {
        return root == table.tree().root();
    }

    /** Returns the nodes that an asker with this root is to compare, none where nothing differs. */
    long[] nodes(long root) {
        return equal(root) ? EQUAL : table.tree().nodes();
    }

    void leaves(String from, ObserveMessage.Leaves asked, MessageSender sender) {
        int nodes = asked.nodes().length;
        if (nodes > HashTree.WIDTH || asked.leaves().length != nodes * HashTree.WIDTH) {
            counters.increment("dropped.malformed");
            return;
        }
        List<Integer> differing = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            int node = asked.nodes()[i];
            if (node < 0 || node >= HashTree.WIDTH) {
                counters.increment("dropped.malformed");
                return;
            }
            long[] mine = table.tree().leaves(node);
            for (int j = 0; j < HashTree.WIDTH; j++) {
                if (mine[j] != asked.leaves()[i * HashTree.WIDTH + j]) {
                    differing.add(node * HashTree.WIDTH + j);
                }
            }
        }
        List<ShardMessage.SlotDigest> stamps = new ArrayList<>();
        differing.forEach(leaf -> table.tree().entries(leaf).forEach((key, hash) -> stamps.add(new ShardMessage.SlotDigest(key, hash))));
        List<List<ShardMessage.SlotDigest>> parts = MessageSizes.split(stamps, stamp -> 32 + MessageSizes.bytesOf(stamp.key()));
        if (parts.isEmpty()) {
            parts.add(List.of());
        }
        int[] numbers = differing.stream().mapToInt(Integer::intValue).toArray();
        for (int part = 0; part < parts.size(); part++) {
            sender.send(from, new ObserveMessage.Stamps(asked.seq(), part, parts.size(), numbers, parts.get(part)));
        }
    }

    void want(String from, ObserveMessage.Want asked, long awayUs, MessageSender sender) {
        List<Slot> slots = new ArrayList<>();
        for (Order.Key key : asked.keys().subList(0, Math.min(MOST_KEYS, asked.keys().size()))) {
            slots.addAll(SlotMerge.split(table.slot(key), null));
        }
        MessageSizes.split(slots, MessageSizes::bytesOf).forEach(part -> sender.send(from, new ObserveMessage.Slots(asked.seq(), awayUs, part)));
    }

    /** Returns those offered slots that hold more than this voter's; where it is the voter's that hold more, the observer gets them. */
    List<Slot> offered(long nowUs, String from, ObserveMessage.Offer offer, long awayUs, MessageSender sender) {
        boolean old = offer.awayUs() < 0 || offer.awayUs() > settings.removalUs() / 2;
        if (old || !offers.take(nowUs, 1)) {
            // What was removed while an old copy was away would come back with it.
            counters.increment(old ? "offers.refused_old" : "offers.refused_many");
            return List.of();
        }
        Set<Slot> more = offer.slots().stream().filter(slot -> !SlotMerge.join(table.slot(slot.key()), slot).equals(table.slot(slot.key())))
                .collect(Collectors.toSet());
        List<Slot> less = offer.slots().stream().map(slot -> SlotMerge.join(table.slot(slot.key()), slot))
                .filter(joined -> offer.slots().stream().noneMatch(slot -> slot.equals(joined))).toList();
        MessageSizes.split(less, MessageSizes::bytesOf).forEach(part -> sender.send(from, new ObserveMessage.Slots(0, awayUs, part)));
        return List.copyOf(more);
    }
}

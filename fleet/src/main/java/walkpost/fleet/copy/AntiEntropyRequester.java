package walkpost.fleet.copy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The requesting side of anti-entropy: owns the comparison rounds under way with other members, and decides which members to ask next.
 * In each period it asks so many members that it has heard from a majority well within {@link ShardSettings#silenceUs}, and twice as
 * many while this member has not caught up.
 */
final class AntiEntropyRequester {
    /** A round that has begun to fetch is restarted after this time without progress; a round never answered restarts at once. */
    private static final long ROUND_TIMEOUT_US = 3_000_000;

    /** One comparison with another member. */
    private static final class Round {
        private final long number;
        private final BitSet partsReceived = new BitSet();
        private final Set<ShardMessage.SlotDigest> missingSlots = new HashSet<>();
        private boolean allPartsReceived;
        private boolean answered;
        private long progressAtUs;

        private Round(long number) {
            this.number = number;
        }

        private void recordProgress(long nowUs) {
            answered = true;
            progressAtUs = nowUs;
        }
    }

    private final ShardSettings settings;
    private final PeerSet peers;
    private final CatchUpState catchUpState;
    private final SlotStore slotStore;
    private final EntryStore entryStore;
    private final Map<String, Round> rounds = new TreeMap<>();
    /** The number of the latest request to each member: the lower, the longer ago. */
    private final Map<String, Long> lastRequest = new TreeMap<>();
    private FetchQueue fetchQueue;
    private long roundCount;
    private long requestCount;
    private long nextUs;

    AntiEntropyRequester(ShardSettings settings, PeerSet peers, CatchUpState catchUpState, SlotStore slotStore, EntryStore entryStore) {
        this.settings = settings;
        this.peers = peers;
        this.catchUpState = catchUpState;
        this.slotStore = slotStore;
        this.entryStore = entryStore;
        this.fetchQueue = new FetchQueue(settings, 0);
    }

    /** Discards all rounds and fetches when the shard starts, loses contact with the majority, or has emptied its replica. */
    void reset(long nowUs) {
        rounds.clear();
        fetchQueue = new FetchQueue(settings, nowUs);
        nextUs = nowUs;
    }

    /** Starts the comparisons that are due, and sends the fetch requests that the rate allows. */
    void tick(long nowUs, Outbox out) {
        if (nowUs >= nextUs) {
            // The jitter keeps members that started together from comparing at the same moments for ever.
            nextUs = nowUs + settings.comparisonPeriodUs() - peers.drawTimeUs(Math.max(1, settings.comparisonPeriodUs() / 8));
            lastRequest.keySet().removeIf(name -> !peers.isAlive(name));
            // The last one is drawn from all living members, so that entries of members that are not configured are found as well.
            List<String> drawn = peers.drawAlive(1);
            membersToAsk().stream().filter(name -> !drawn.contains(name)).forEach(name -> begin(nowUs, name, null, out));
            drawn.forEach(name -> begin(nowUs, name, entryStore.tree().root(), out));
        }
        fetchQueue.sendRequests(nowUs, out, (digest, sources) -> sources.forEach(rounds::remove));
    }

    /** Receives the node hashes of another member's trees, and asks for the leaves below those that differ. */
    void receiveNodeHashes(long nowUs, String from, ShardMessage.NodeHashes nodes, Outbox out) {
        Round round = rounds.get(from);
        if (round == null || round.number != nodes.round()) {
            return;
        }
        round.recordProgress(nowUs);
        int[] slotNodes = differing(slotStore.tree().nodes(), nodes.slots());
        int[] entryNodes = differing(entryStore.tree().nodes(), nodes.facts());
        if (slotNodes.length == 0) {
            finish(from, nowUs);
        }
        if (slotNodes.length + entryNodes.length > 0) {
            out.send(from, new ShardMessage.LeafHashes(round.number, slotNodes, leaves(slotStore.tree(), slotNodes), entryNodes,
                    leaves(entryStore.tree(), entryNodes)));
        }
    }

    /** Receives digests of another member's slots in the leaves that differ, and queues the fetch of those that differ here. */
    void receiveSlotDigests(long nowUs, String from, ShardMessage.SlotDigests digests) {
        Round round = rounds.get(from);
        if (round == null || round.number != digests.round() || !MessageSizes.isValidPart(digests.part(), digests.parts())) {
            return;
        }
        round.recordProgress(nowUs);
        for (ShardMessage.SlotDigest digest : digests.stamps()) {
            Long mine = slotStore.hash(digest.key());
            if (mine == null || mine != digest.hash()) {
                fetchQueue.enqueue(digest, from);
                round.missingSlots.add(digest);
            }
        }
        round.partsReceived.set(digests.part());
        round.allPartsReceived = round.partsReceived.cardinality() == digests.parts();
        if (round.allPartsReceived && round.missingSlots.isEmpty()) {
            finish(from, nowUs);
        }
    }

    /** Receives digests of another member's entries in the leaves that differ, and queues the fetch of those missing here. */
    void receiveEntryDigests(String from, ShardMessage.EntryDigests digests) {
        digests.stamps().stream().filter(entryStore::isMissing).forEach(digest -> fetchQueue.enqueue(digest, from));
    }

    /** Records that a fetched slot has arrived and has been merged. */
    void slotReceived(long nowUs, String from, Order.Key key) {
        fetchQueue.received(key, from).forEach((digest, sources) -> {
            for (String source : sources) {
                Round round = rounds.get(source);
                if (round != null && round.missingSlots.remove(digest)) {
                    round.recordProgress(nowUs);
                    if (round.allPartsReceived && round.missingSlots.isEmpty()) {
                        finish(source, nowUs);
                    }
                }
            }
        });
    }

    /** Records that a fetched entry has arrived. */
    void entryReceived(Entry.Key key) {
        fetchQueue.received(key);
    }

    /** Returns the number of slots and entries still to be fetched. */
    int waitingCount() {
        return fetchQueue.size();
    }

    private void finish(String with, long nowUs) {
        rounds.remove(with);
        catchUpState.recordCompared(with, nowUs);
    }

    private void begin(long nowUs, String name, Long entriesRoot, Outbox out) {
        lastRequest.put(name, ++requestCount);
        Round running = rounds.get(name);
        if (running != null && running.answered && nowUs - running.progressAtUs < ROUND_TIMEOUT_US) {
            return;
        }
        Round round = new Round(++roundCount);
        rounds.put(name, round);
        out.send(name, new ShardMessage.CompareRoots(round.number, catchUpState.awayUs(nowUs), slotStore.tree().root(), entriesRoot));
    }

    /**
     * Returns the members to compare with now: those that were asked longest ago, and some that were heard from longest ago, so that
     * a lost message is not mistaken for silence.
     */
    private Set<String> membersToAsk() {
        List<String> candidates = new ArrayList<>(peers.aliveOthers().stream().filter(peers::isConfigured).toList());
        long periods = Math.max(1, settings.silenceUs() / settings.comparisonPeriodUs() - 1);
        int count = (int) ((peers.othersForMajority() + periods - 1) / periods) * (catchUpState.isCaughtUp() ? 1 : 2);
        Set<String> chosen = new LinkedHashSet<>();
        candidates.sort(Comparator.comparingLong(name -> lastRequest.getOrDefault(name, 0L)));
        candidates.stream().limit(count).forEach(chosen::add);
        candidates.sort(Comparator.comparingLong(catchUpState::lastHeardUs));
        candidates.stream().filter(name -> !chosen.contains(name)).limit((count + 3) / 4).toList().forEach(chosen::add);
        return chosen;
    }

    private static int[] differing(long[] mine, long[] theirs) {
        // An equal tree is sent without nodes. Any other number than 16 is a malformed message, from which nothing can be concluded.
        if (theirs.length != mine.length) {
            return new int[0];
        }
        int[] differing = new int[mine.length];
        int count = 0;
        for (int node = 0; node < mine.length; node++) {
            if (mine[node] != theirs[node]) {
                differing[count++] = node;
            }
        }
        return Arrays.copyOf(differing, count);
    }

    private static <K> long[] leaves(HashTree<K> tree, int[] nodes) {
        long[] leaves = new long[nodes.length * HashTree.WIDTH];
        for (int i = 0; i < nodes.length; i++) {
            System.arraycopy(tree.leaves(nodes[i]), 0, leaves, i * HashTree.WIDTH, HashTree.WIDTH);
        }
        return leaves;
    }
}

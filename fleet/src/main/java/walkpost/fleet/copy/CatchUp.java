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
 * The asking side of comparing: owns the rounds with others that are under way, and whom to ask next. Each period so many are asked
 * that a majority is heard well within the time of silence, twice as many while this member is not level.
 */
final class CatchUp {
    /** A round that has begun to fetch, but then got nothing for so long, is begun anew; one never answered is at once. */
    private static final long PATIENCE_US = 3_000_000;

    private static final class Round {
        private final long number;
        private final BitSet parts = new BitSet();
        private final Set<CopyMessage.SlotStamp> waiting = new HashSet<>();
        private boolean listed;
        private boolean moved;
        private long movedUs;

        private Round(long number) {
            this.number = number;
        }

        private void move(long nowUs) {
            moved = true;
            movedUs = nowUs;
        }
    }

    private final CopySettings settings;
    private final Neighbours neighbours;
    private final Touch touch;
    private final OrderBook book;
    private final FactBook facts;
    private final Map<String, Round> rounds = new TreeMap<>();
    private final Map<String, Long> asked = new TreeMap<>();
    private Fetches fetches;
    private long numbers;
    private long askings;
    private long nextUs;

    CatchUp(CopySettings settings, Neighbours neighbours, Touch touch, OrderBook book, FactBook facts) {
        this.settings = settings;
        this.neighbours = neighbours;
        this.touch = touch;
        this.book = book;
        this.facts = facts;
        this.fetches = new Fetches(settings, 0);
    }

    /** The shard begins, touch is lost, or the copy emptied: what is under way does not count. */
    void reset(long nowUs) {
        rounds.clear();
        fetches = new Fetches(settings, nowUs);
        nextUs = nowUs;
    }

    /** Time has passed. */
    void tick(long nowUs, Outbox out) {
        if (nowUs >= nextUs) {
            // The draw keeps members that started together from asking together for ever.
            nextUs = nowUs + settings.compareUs() - neighbours.draw(Math.max(1, settings.compareUs() / 8));
            asked.keySet().removeIf(name -> !neighbours.alive(name));
            // The last one is drawn from all, so that facts of members that are not configured are found as well.
            List<String> drawn = neighbours.draw(1);
            whom().stream().filter(name -> !drawn.contains(name)).forEach(name -> begin(nowUs, name, null, out));
            drawn.forEach(name -> begin(nowUs, name, facts.tree().root(), out));
        }
        fetches.ask(nowUs, out, (stamp, sources) -> sources.forEach(rounds::remove));
    }

    /** The nodes of another's trees have come. */
    void nodes(long nowUs, String from, CopyMessage.Nodes nodes, Outbox out) {
        Round round = rounds.get(from);
        if (round == null || round.number != nodes.round()) {
            return;
        }
        round.move(nowUs);
        int[] slotNodes = differing(book.tree().nodes(), nodes.slots());
        int[] factNodes = differing(facts.tree().nodes(), nodes.facts());
        if (slotNodes.length == 0) {
            done(from, nowUs);
        }
        if (slotNodes.length + factNodes.length > 0) {
            out.send(from, new CopyMessage.Leaves(round.number, slotNodes, leaves(book.tree(), slotNodes), factNodes,
                    leaves(facts.tree(), factNodes)));
        }
    }

    /** Which slots another has where the leaves differ. */
    void slotStamps(long nowUs, String from, CopyMessage.SlotStamps stamps) {
        Round round = rounds.get(from);
        if (round == null || round.number != stamps.round() || !Sizes.part(stamps.part(), stamps.parts())) {
            return;
        }
        round.move(nowUs);
        for (CopyMessage.SlotStamp stamp : stamps.stamps()) {
            Long mine = book.hash(stamp.key());
            if (mine == null || mine != stamp.hash()) {
                fetches.want(stamp, from);
                round.waiting.add(stamp);
            }
        }
        round.parts.set(stamps.part());
        round.listed = round.parts.cardinality() == stamps.parts();
        if (round.listed && round.waiting.isEmpty()) {
            done(from, nowUs);
        }
    }

    /** Which facts another has where the leaves differ. */
    void factStamps(String from, CopyMessage.FactStamps stamps) {
        stamps.stamps().stream().filter(facts::wants).forEach(stamp -> fetches.want(stamp, from));
    }

    /** A slot that was asked for has come and has been joined. */
    void slot(long nowUs, String from, Order.Key key) {
        fetches.got(key, from).forEach((stamp, sources) -> {
            for (String source : sources) {
                Round round = rounds.get(source);
                if (round != null && round.waiting.remove(stamp)) {
                    round.move(nowUs);
                    if (round.listed && round.waiting.isEmpty()) {
                        done(source, nowUs);
                    }
                }
            }
        });
    }

    /** A fact that was asked for has come. */
    void fact(Fact.Key key) {
        fetches.got(key);
    }

    int waiting() {
        return fetches.size();
    }

    private void done(String with, long nowUs) {
        rounds.remove(with);
        touch.compared(with, nowUs);
    }

    private void begin(long nowUs, String name, Long factsRoot, Outbox out) {
        asked.put(name, ++askings);
        Round running = rounds.get(name);
        if (running != null && running.moved && nowUs - running.movedUs < PATIENCE_US) {
            return;
        }
        Round round = new Round(++numbers);
        rounds.put(name, round);
        out.send(name, new CopyMessage.Compare(round.number, touch.awayUs(nowUs), book.tree().root(), factsRoot));
    }

    /** Those asked longest ago, and some of those heard longest ago, so that a lost message does not look like silence. */
    private Set<String> whom() {
        List<String> configured = new ArrayList<>(neighbours.alive().stream().filter(neighbours::isConfigured).toList());
        long periods = Math.max(1, settings.silenceUs() / settings.compareUs() - 1);
        int count = (int) ((neighbours.othersNeeded() + periods - 1) / periods) * (touch.level() ? 1 : 2);
        Set<String> whom = new LinkedHashSet<>();
        configured.sort(Comparator.comparingLong(name -> asked.getOrDefault(name, 0L)));
        configured.stream().limit(count).forEach(whom::add);
        configured.sort(Comparator.comparingLong(touch::heardUs));
        configured.stream().filter(name -> !whom.contains(name)).limit((count + 3) / 4).toList().forEach(whom::add);
        return whom;
    }

    private static int[] differing(long[] mine, long[] theirs) {
        // A tree found equal comes with no nodes; any other number than 16 is a message gone wrong, and tells nothing.
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

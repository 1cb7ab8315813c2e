package walkpost.fleet.observe;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.MessageSizes;
import walkpost.fleet.copy.Order;

/**
 * What operators ask of all voters at once, fetched only then: owns the questions that are open. Any member may ask, voters among them
 * (whose own part the owner hands to {@link Feed} like a message from itself).
 */
public final class Inquiries {
    /** A question is answered with what has come by then, the voters that have not answered named. */
    private static final long PATIENCE_US = 1_000_000;
    private static final Comparator<Entry> NEWER = Comparator.comparingLong(Entry::incarnation).thenComparingLong(Entry::version);

    /** What the voters have answered, those that did not in time named. */
    public record EntriesFound(List<Entry> entries, List<String> silent) { }

    /** By how many an order is held, of how many; names of some that lack it; the voters that did not answer. */
    public record Coverage(int held, int of, List<String> lacking, List<String> silent) { }

    private static final class Question {
        private final boolean aboutEntries;
        private final long untilUs;
        private final TreeSet<String> silent;
        private final Map<String, BitSet> parts = new TreeMap<>();
        private final Map<Entry.Key, Entry> found = new LinkedHashMap<>();
        private final TreeSet<String> lacking = new TreeSet<>();
        private int held;
        private int of;

        private Question(boolean aboutEntries, long nowUs, Collection<String> voters) {
            this.aboutEntries = aboutEntries;
            this.untilUs = nowUs + PATIENCE_US;
            this.silent = new TreeSet<>(voters);
        }
    }

    private final Map<Long, Question> open = new TreeMap<>();
    private long numbers;

    /** Asks which entries on a topic were reported; {@code send} gets whom to ask and the message. Returns the question's number. */
    public long askEntries(long nowUs, String topic, Collection<String> voters, BiConsumer<String, ObserveMessage> send) {
        open.put(++numbers, new Question(true, nowUs, voters));
        voters.forEach(to -> send.accept(to, new ObserveMessage.AskEntries(numbers, topic)));
        return numbers;
    }

    /** Asks who holds an order. Returns the question's number. */
    public long askHeld(long nowUs, Order.Key key, String id, Collection<String> voters, BiConsumer<String, ObserveMessage> send) {
        open.put(++numbers, new Question(false, nowUs, voters));
        voters.forEach(to -> send.accept(to, new ObserveMessage.AskHeld(numbers, key, id)));
        return numbers;
    }

    /** Takes an answer from a voter; anything else is passed over. */
    public void received(long nowUs, String from, ObserveMessage message) {
        if (message instanceof ObserveMessage.Entries answer) {
            Question question = open.get(answer.seq());
            if (question == null || !question.aboutEntries || !question.silent.contains(from)
                    || !MessageSizes.isValidPart(answer.part(), answer.parts())) {
                return;
            }
            answer.facts().forEach(entry -> question.found.merge(entry.key(), entry, (a, b) -> NEWER.compare(a, b) >= 0 ? a : b));
            BitSet parts = question.parts.computeIfAbsent(from, name -> new BitSet());
            parts.set(answer.part());
            if (parts.cardinality() == answer.parts()) {
                question.silent.remove(from);
            }
        } else if (message instanceof ObserveMessage.Held answer) {
            Question question = open.get(answer.seq());
            if (question != null && !question.aboutEntries && question.silent.remove(from)) {
                question.held += answer.held();
                question.of += answer.of();
                question.lacking.addAll(answer.lacking());
            }
        }
    }

    /** Hands over what is answered by all, or has waited for a second. */
    public void done(long nowUs, BiConsumer<Long, EntriesFound> entries, BiConsumer<Long, Coverage> held) {
        for (Map.Entry<Long, Question> each : List.copyOf(open.entrySet())) {
            Question question = each.getValue();
            if (!question.silent.isEmpty() && nowUs < question.untilUs) {
                continue;
            }
            open.remove(each.getKey());
            if (question.aboutEntries) {
                entries.accept(each.getKey(), new EntriesFound(new ArrayList<>(question.found.values()), List.copyOf(question.silent)));
            } else {
                held.accept(each.getKey(), new Coverage(question.held, question.of, List.copyOf(question.lacking),
                        List.copyOf(question.silent)));
            }
        }
    }
}

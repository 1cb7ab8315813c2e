package walkpost.lab.verdict;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import walkpost.lab.ledger.Seen;

/** When the lab's own loops were held up, as each has noted it itself. Immutable. */
final class Holdups {
    private final Map<Loop, List<Seen.Held>> spans = new HashMap<>();
    private final Map<Seen.Part, Integer> loops = new HashMap<>();
    private long longestUs;

    /** One loop of a part of the lab. */
    record Loop(Seen.Part part, int number) { }

    /** Collects the hold-ups of a ledger, which is in the order of time. */
    Holdups(List<Seen> ledger) {
        for (Seen seen : ledger) {
            if (seen instanceof Seen.Held held) {
                loops.put(held.part(), held.of());
                longestUs = Math.max(longestUs, held.t() - held.fromUs());
                spans.computeIfAbsent(new Loop(held.part(), held.number()), k -> new ArrayList<>()).add(held);
            }
        }
    }

    /** Returns the loop of a place's tile servers. */
    Loop server(int place) {
        return loop(Seen.Part.SERVERS, place);
    }

    /** Returns the loop of discovery. */
    Loop discovery() {
        return loop(Seen.Part.SERVERS, 0);
    }

    /** Returns the loop of a proxy's clients. */
    Loop clients(int proxy) {
        return loop(Seen.Part.CLIENTS, proxy);
    }

    private Loop loop(Seen.Part part, int number) {
        return new Loop(part, Math.floorMod(number, loops.getOrDefault(part, 1)));
    }

    /** Returns all loops of the tile servers that were ever held up. */
    List<Loop> servers() {
        return spans.keySet().stream().filter(l -> l.part() == Seen.Part.SERVERS).toList();
    }

    /**
     * Returns how much too late something may have been seen for hold-ups since another moment, in microseconds: those that last
     * still, or were over no longer before than they had lasted. What is seen later was not held up by them.
     */
    long delay(long sinceUs, long seenAtUs, Collection<Loop> by) {
        return together(met(Math.max(sinceUs, seenAtUs - 2 * longestUs), seenAtUs, seenAtUs, by), sinceUs, seenAtUs);
    }

    /**
     * Returns by how much hold-ups of some loops may have moved what was under way in a span, in microseconds: the whole length
     * of each that met it, or that was over no longer before it than it had lasted, as what it held back was still being worked off.
     */
    long sway(long fromUs, long toUs, Collection<Loop> of) {
        return together(met(fromUs - longestUs, toUs, fromUs, of), Long.MIN_VALUE, Long.MAX_VALUE);
    }

    /** Returns the hold-ups that end after one moment, begin before another, and are worked off no sooner than at a third. */
    private List<Seen.Held> met(long endsAfterUs, long beginsBeforeUs, long worksAtUs, Collection<Loop> of) {
        var met = new ArrayList<Seen.Held>();
        for (Loop loop : of) {
            for (Seen.Held held : after(loop, endsAfterUs)) {
                if (held.fromUs() >= beginsBeforeUs) {
                    break;
                }
                // What was held back is worked off in as long again, where servers are half busy at most.
                if (held.t() + (held.t() - held.fromUs()) >= worksAtUs) {
                    met.add(held);
                }
            }
        }
        return met;
    }

    /** Returns how much of a span was held up: what several loops were at once counts once, as all waited for the same time. */
    private static long together(List<Seen.Held> met, long fromUs, long toUs) {
        met.sort(Comparator.comparingLong(Seen.Held::fromUs));
        long sum = 0;
        long counted = fromUs;
        for (Seen.Held held : met) {
            long end = Math.min(toUs, held.t());
            sum += Math.max(0, end - Math.max(counted, held.fromUs()));
            counted = Math.max(counted, end);
        }
        return sum;
    }

    /** Returns a loop's hold-ups that end after a moment; they never overlap, so the order of ends is that of beginnings. */
    private List<Seen.Held> after(Loop loop, long us) {
        List<Seen.Held> all = spans.getOrDefault(loop, List.of());
        int low = 0;
        int high = all.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (all.get(middle).t() <= us) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return all.subList(low, all.size());
    }
}

package walkpost.lab.baseline;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import walkpost.lab.net.Board;

/** How a plain proxy picks a server. Used by one thread. */
interface Choice {
    /** The textbook's names. */
    enum Kind { RANDOM, ROUND_ROBIN, LEAST_OUTSTANDING, PEAK_EWMA, ORACLE }

    /** Returns one of the candidates, of which there is at least one. */
    Known pick(List<Known> candidates, double workUs);

    /** Returns the choice of a name, such as {@code least-outstanding}; {@code board} is only for the oracle. */
    static Choice of(Kind kind, SplittableRandom random, Board board) {
        return switch (kind) {
            case RANDOM -> (all, work) -> all.get(random.nextInt(all.size()));
            case ROUND_ROBIN -> new RoundRobin();
            case LEAST_OUTSTANDING -> (all, work) -> {
                int from = random.nextInt(all.size()); // ties go to anyone
                Known best = all.get(from);
                for (int i = 1; i < all.size(); i++) {
                    Known next = all.get((from + i) % all.size());
                    best = next.outstanding < best.outstanding ? next : best;
                }
                return best;
            };
            // The power of two choices (Mitzenmacher 2001) by peak EWMA and what is out (Finagle).
            case PEAK_EWMA -> (all, work) -> {
                Known one = all.get(random.nextInt(all.size()));
                Known other = all.get(random.nextInt(all.size()));
                return one.load() <= other.load() ? one : other;
            };
            case ORACLE -> (all, work) -> all.stream()
                    .min(Comparator.comparingDouble(k -> board.expectedUs(k.id, k.onItsWayUs + work))).orElseThrow();
        };
    }

    /** Reads a name, spelt with hyphens. */
    static Kind kind(String name) {
        return Kind.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    /** One after the other. */
    final class RoundRobin implements Choice {
        private int next;

        @Override
        public Known pick(List<Known> candidates, double workUs) {
            next = (next + 1) % candidates.size();
            return candidates.get(next);
        }
    }
}

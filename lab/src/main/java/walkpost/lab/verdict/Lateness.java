package walkpost.lab.verdict;

import java.util.List;
import walkpost.lab.ledger.Seen;

/**
 * How late the lab itself was, and the machine under it.
 *
 * @param sentLate the share of requests that were handed over later than a hundredth of their class's aim
 * @param sentP99Us between due and handed over; -1 where the ledger was cut off
 * @param machineP99Us a bare timer's; -1 where the ledger was cut off
 * @param heldUs the longest that a loop of the lab was held up; -1 where the ledger was cut off
 */
public record Lateness(double sentLate, long sentP99Us, long machineP99Us, long heldUs) {
    private static final double LIKE_SHARE = 0.05;
    private static final long LIKE_US = 1_000;
    private static final int LIKE_TIMES = 2;

    static Lateness of(List<Outcome> outcomes, Seen.Finished end) {
        double late = outcomes.stream().filter(Outcome::sentLate).count();
        return new Lateness(late / Math.max(1, outcomes.size()), end.lateP99Us(), end.machineP99Us(), end.heldUs());
    }

    /** Returns whether another play ran about as late, so that the two may be set beside each other. */
    public boolean like(Lateness other) {
        long less = Math.min(machineP99Us, other.machineP99Us);
        long more = Math.max(machineP99Us, other.machineP99Us);
        return Math.abs(sentLate - other.sentLate) <= LIKE_SHARE && (more - less <= LIKE_US || more <= LIKE_TIMES * less);
    }
}

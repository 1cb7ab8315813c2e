package walkpost.lab.verdict;

import java.util.List;

/**
 * Whether something came after its time, seen by a lab that may have been held up itself: a limit is later by as long as
 * hold-ups of those that saw it may have kept them from seeing it. Counts what was within a limit for that alone.
 */
final class TimeLimits {
    private static final long LONG_AGO = Long.MIN_VALUE / 2;

    private final Holdups holdups;
    private int excused;

    TimeLimits(Holdups holdups) {
        this.holdups = holdups;
    }

    /** Returns whether what was seen at a moment is past a limit that ran since another. */
    boolean passed(long sinceUs, long atUs, long limitUs, Holdups.Loop... seenBy) {
        if (atUs <= limitUs) {
            return false;
        }
        if (atUs > limitUs + holdups.delay(sinceUs, atUs, List.of(seenBy))) {
            return true;
        }
        excused++;
        return false;
    }

    /** Returns by how much earlier than it was seen something may have come, in microseconds. */
    long earlierUs(long seenAtUs, Holdups.Loop seenBy) {
        return holdups.delay(LONG_AGO, seenAtUs, List.of(seenBy));
    }

    /** Counts one more that a hold-up excuses. */
    void excuse() {
        excused++;
    }

    /** Returns how many would have been breaks without a hold-up. */
    int excused() {
        return excused;
    }
}

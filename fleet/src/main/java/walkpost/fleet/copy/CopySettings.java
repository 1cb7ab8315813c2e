package walkpost.fleet.copy;

import java.util.Map;

/**
 * What a {@link Shard} goes by. All members of a fleet are to have the same; times are in microseconds.
 *
 * @param promiseUs for how long a member keeps a slot for one order
 * @param answerUs how long a coordinator waits for a majority, in each of its two phases; both together end before a promise does
 * @param fanOut how many members a fact is told to at a time
 * @param compareUs the period of comparing with others
 * @param silenceUs a member that heard from no majority for so long has lost touch
 * @param gapUs a member whose clock went on by more than this between two events stood still, and has lost touch
 * @param fetchPerSecond entries that are fetched in a second while catching up
 * @param boundsUs the staleness of facts by topic
 * @param boundUs that of all other topics
 * @param removals how many removed keys a shard remembers
 * @param removalUs for how long it remembers each
 */
public record CopySettings(long promiseUs, long answerUs, int fanOut, long compareUs, long silenceUs, long gapUs, int fetchPerSecond,
        Map<String, Long> boundsUs, long boundUs, int removals, long removalUs) {
    private static final long SECOND_US = 1_000_000;

    /** Checks that each is above zero and that they go together; else an {@link IllegalArgumentException} says which does not. */
    public CopySettings {
        boundsUs = Map.copyOf(boundsUs);
        check(answerUs > 0, "answer must be above zero");
        check(promiseUs > 2 * answerUs, "a promise must outlast both phases of its coordinator");
        check(fanOut > 0, "fan-out must be above zero");
        check(compareUs > 0 && silenceUs >= 2 * compareUs, "silence must be two periods of comparing or more");
        check(gapUs > 0 && gapUs <= silenceUs, "gap must be above zero and not above silence");
        check(fetchPerSecond > 0, "fetches a second must be above zero");
        check(boundUs > 0 && boundsUs.values().stream().allMatch(bound -> bound > 0), "bounds must be above zero");
        check(removals > 0 && removalUs > silenceUs, "removals must be remembered, and for longer than silence");
    }

    /** Returns what {@code docs/fleet.md} says, with bounds of 10 s. */
    public static CopySettings usual() {
        return new CopySettings(3 * SECOND_US, SECOND_US, 3, SECOND_US, 5 * SECOND_US, SECOND_US, 2_000,
                Map.of(), 10 * SECOND_US, 10_000, 24 * 3600 * SECOND_US);
    }

    /** Returns the same with these bounds by topic, and this one for all others. */
    public CopySettings withBounds(Map<String, Long> byTopicUs, long otherUs) {
        return new CopySettings(promiseUs, answerUs, fanOut, compareUs, silenceUs, gapUs, fetchPerSecond, byTopicUs, otherUs,
                removals, removalUs);
    }

    /** Returns the same with this memory of removed keys. */
    public CopySettings withRemovals(int keys, long forUs) {
        return new CopySettings(promiseUs, answerUs, fanOut, compareUs, silenceUs, gapUs, fetchPerSecond, boundsUs, boundUs, keys, forUs);
    }

    /** Returns the bound on a topic's facts. */
    public long bound(String topic) {
        return boundsUs.getOrDefault(topic, boundUs);
    }

    private static void check(boolean holds, String otherwise) {
        if (!holds) {
            throw new IllegalArgumentException(otherwise);
        }
    }
}

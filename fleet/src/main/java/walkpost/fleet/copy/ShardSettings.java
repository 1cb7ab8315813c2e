package walkpost.fleet.copy;

import java.util.Map;

/**
 * The settings of a {@link Shard}. All members of a fleet need the same values.
 *
 * @param promiseUs how long a member reserves a slot for one order
 * @param answerUs how long a coordinator waits for a majority in each of its two phases, which together are shorter than a promise
 * @param fanOut how many members an entry is sent to in each round of gossip
 * @param compareUs the period of comparisons with other members
 * @param silenceUs a member that has not heard from a majority for this long is no longer caught up
 * @param gapUs a member whose clock advances by more than this between two events was suspended, and is no longer caught up
 * @param fetchPerSecond how many slots and entries a member fetches per second while it catches up
 * @param boundsUs the age at which entries become stale, by topic
 * @param boundUs the same for all other topics
 * @param removals how many removed keys a shard remembers at most
 * @param removalUs how long it remembers each removed key
 */
public record ShardSettings(long promiseUs, long answerUs, int fanOut, long compareUs, long silenceUs, long gapUs, int fetchPerSecond,
        Map<String, Long> boundsUs, long boundUs, int removals, long removalUs) {
    private static final long SECOND_US = 1_000_000;

    /** Throws an {@link IllegalArgumentException} that names the setting that is out of range or contradicts another. */
    public ShardSettings {
        boundsUs = Map.copyOf(boundsUs);
        check(answerUs > 0, "answerUs must be above zero");
        check(promiseUs > 2 * answerUs, "promiseUs must be above twice answerUs: a promise has to outlast both phases of its coordinator");
        check(fanOut > 0, "fanOut must be above zero");
        check(compareUs > 0 && silenceUs >= 2 * compareUs, "compareUs must be above zero, and silenceUs at least twice compareUs");
        check(gapUs > 0 && gapUs <= silenceUs, "gapUs must be above zero and at most silenceUs");
        check(fetchPerSecond > 0, "fetchPerSecond must be above zero");
        check(boundUs > 0 && boundsUs.values().stream().allMatch(bound -> bound > 0), "boundUs and all boundsUs must be above zero");
        check(removals > 0 && removalUs > silenceUs, "removals must be above zero, and removalUs above silenceUs");
    }

    /** Returns the settings that {@code docs/fleet.md} states, with a staleness bound of 10 s for all topics. */
    public static ShardSettings defaults() {
        return new ShardSettings(3 * SECOND_US, SECOND_US, 3, SECOND_US, 5 * SECOND_US, SECOND_US, 2_000,
                Map.of(), 10 * SECOND_US, 10_000, 24 * 3600 * SECOND_US);
    }

    /** Returns these settings with other staleness bounds: by topic, and one for all other topics. */
    public ShardSettings withStalenessBounds(Map<String, Long> boundsByTopicUs, long otherBoundUs) {
        return new ShardSettings(promiseUs, answerUs, fanOut, compareUs, silenceUs, gapUs, fetchPerSecond, boundsByTopicUs, otherBoundUs,
                removals, removalUs);
    }

    /** Returns these settings with another bound and duration for the memory of removed keys. */
    public ShardSettings withRemovals(int maxKeys, long durationUs) {
        return new ShardSettings(promiseUs, answerUs, fanOut, compareUs, silenceUs, gapUs, fetchPerSecond, boundsUs, boundUs,
                maxKeys, durationUs);
    }

    /** Returns the age at which entries of the topic become stale. */
    public long stalenessBoundUs(String topic) {
        return boundsUs.getOrDefault(topic, boundUs);
    }

    private static void check(boolean valid, String requirement) {
        if (!valid) {
            throw new IllegalArgumentException(requirement);
        }
    }
}

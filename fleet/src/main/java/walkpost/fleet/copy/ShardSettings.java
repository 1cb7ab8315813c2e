package walkpost.fleet.copy;

import java.util.Map;

/**
 * The settings of a {@link Shard}. All members of a fleet need the same values.
 *
 * @param promiseDurationUs how long a member reserves a slot for one order
 * @param answerTimeoutUs how long a coordinator waits for a majority in each of its two phases; both together are shorter than a promise
 * @param gossipFanOut how many members an entry is sent to in each round of gossip
 * @param comparisonPeriodUs the period of comparisons with other members
 * @param silenceUs a member that has not heard from a majority for this long is no longer caught up
 * @param maxClockStepUs a member whose clock advances by more than this between two events was suspended, and is no longer caught up
 * @param fetchesPerSecond how many slots and entries a member fetches per second while it catches up
 * @param stalenessBoundsUs the age at which entries become stale, by topic
 * @param otherStalenessBoundUs the same for all other topics
 * @param maxRemovedKeys how many removed keys a shard remembers at most
 * @param removedKeyRetentionUs how long it remembers each removed key
 */
public record ShardSettings(long promiseDurationUs, long answerTimeoutUs, int gossipFanOut, long comparisonPeriodUs, long silenceUs,
        long maxClockStepUs, int fetchesPerSecond, Map<String, Long> stalenessBoundsUs, long otherStalenessBoundUs, int maxRemovedKeys,
        long removedKeyRetentionUs) {
    private static final long SECOND_US = 1_000_000;

    /** Throws an {@link IllegalArgumentException} that names the setting that is out of range or contradicts another. */
    public ShardSettings {
        stalenessBoundsUs = Map.copyOf(stalenessBoundsUs);
        check(answerTimeoutUs > 0, "answerTimeoutUs must be above zero");
        check(promiseDurationUs > 2 * answerTimeoutUs,
                "promiseDurationUs must be above twice answerTimeoutUs: a promise has to outlast both phases of its coordinator");
        check(gossipFanOut > 0, "gossipFanOut must be above zero");
        check(comparisonPeriodUs > 0 && silenceUs >= 2 * comparisonPeriodUs,
                "comparisonPeriodUs must be above zero, and silenceUs at least twice comparisonPeriodUs");
        check(maxClockStepUs > 0 && maxClockStepUs <= silenceUs, "maxClockStepUs must be above zero and at most silenceUs");
        check(fetchesPerSecond > 0, "fetchesPerSecond must be above zero");
        check(otherStalenessBoundUs > 0 && stalenessBoundsUs.values().stream().allMatch(bound -> bound > 0),
                "otherStalenessBoundUs and all stalenessBoundsUs must be above zero");
        check(maxRemovedKeys > 0 && removedKeyRetentionUs > silenceUs,
                "maxRemovedKeys must be above zero, and removedKeyRetentionUs above silenceUs");
    }

    /** Returns the settings that {@code docs/fleet.md} states, with a staleness bound of 10 s for all topics. */
    public static ShardSettings defaults() {
        return new ShardSettings(3 * SECOND_US, SECOND_US, 3, SECOND_US, 5 * SECOND_US, SECOND_US, 2_000,
                Map.of(), 10 * SECOND_US, 10_000, 24 * 3600 * SECOND_US);
    }

    /** Returns these settings with other staleness bounds: by topic, and one for all other topics. */
    public ShardSettings withStalenessBounds(Map<String, Long> boundsByTopicUs, long otherBoundUs) {
        return new ShardSettings(promiseDurationUs, answerTimeoutUs, gossipFanOut, comparisonPeriodUs, silenceUs, maxClockStepUs,
                fetchesPerSecond, boundsByTopicUs, otherBoundUs, maxRemovedKeys, removedKeyRetentionUs);
    }

    /** Returns these settings with another bound and duration for the memory of removed keys. */
    public ShardSettings withRemovals(int maxKeys, long durationUs) {
        return new ShardSettings(promiseDurationUs, answerTimeoutUs, gossipFanOut, comparisonPeriodUs, silenceUs, maxClockStepUs,
                fetchesPerSecond, stalenessBoundsUs, otherStalenessBoundUs, maxKeys, durationUs);
    }

    /** Returns the age at which entries of the topic become stale. */
    public long stalenessBoundUs(String topic) {
        return stalenessBoundsUs.getOrDefault(topic, otherStalenessBoundUs);
    }

    private static void check(boolean valid, String requirement) {
        if (!valid) {
            throw new IllegalArgumentException(requirement);
        }
    }
}

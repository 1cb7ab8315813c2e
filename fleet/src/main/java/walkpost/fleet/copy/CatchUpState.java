package walkpost.fleet.copy;

import java.util.Map;
import java.util.TreeMap;

/**
 * The catch-up state of this member's replica. Owns the time when each configured member was last heard from, the members with which the
 * replica has been compared since it was last known to be behind, and the time when it was last caught up.
 *
 * <p>A member is caught up while it hears from a majority, once its replica has been compared with a majority. A member that starts is
 * not caught up before any promise of its previous life, of which it knows nothing, has expired.
 */
final class CatchUpState {
    /** The age of a replica that was never caught up: older than any other, yet so small that differences do not overflow. */
    static final long NEVER_US = Long.MAX_VALUE / 4;

    /**
     * A step of the clock above {@link ShardSettings#maxClockStepUs} divided by this number counts as a pause, during which arriving
     * messages may have waited in a socket. The ages of entries are upper bounds, so that adding a pause too many is correct, and adding
     * one too few is not.
     */
    private static final long PAUSES_PER_GAP = 10;

    private final ShardSettings settings;
    private final PeerSet peers;
    private final ShardCounters counters;
    private final Map<String, Long> heardAtUs = new TreeMap<>();
    private final Map<String, Long> comparedAtUs = new TreeMap<>();
    private boolean started;
    private boolean caughtUp;
    private long startUs;
    private long lastUs;
    private long lastCaughtUpUs;
    private long pauseUs;
    private long pauseEndUs;

    CatchUpState(ShardSettings settings, PeerSet peers, ShardCounters counters) {
        this.counters = counters;
        this.settings = settings;
        this.peers = peers;
    }

    /** Records the time of an event. Returns whether catch-up has to start anew: at the first event, and after a suspension. */
    boolean advanceClock(long nowUs) {
        if (!started) {
            started = true;
            startUs = nowUs;
            lastCaughtUpUs = nowUs - NEVER_US;
            pauseEndUs = nowUs - NEVER_US;
            lastUs = nowUs;
            return true;
        }
        long stepUs = nowUs - lastUs;
        lastUs = nowUs;
        if (caughtUp) {
            lastCaughtUpUs = nowUs - stepUs;
        }
        if (stepUs > settings.maxClockStepUs() / PAUSES_PER_GAP) {
            boolean followsPause = nowUs - stepUs - pauseEndUs <= settings.maxClockStepUs();
            // Suspensions in a row add up, because few messages may have been read between them. Short pauses do not add up, because
            // then the ages on a member that is merely slow would grow for ever.
            pauseUs = !followsPause ? stepUs : stepUs > settings.maxClockStepUs() ? pauseUs + stepUs : Math.max(pauseUs, stepUs);
            pauseEndUs = nowUs;
        }
        if (stepUs <= settings.maxClockStepUs()) {
            return false;
        }
        counters.increment("touch.stood_still");
        fallBehind();
        return true;
    }

    /** Records that the replica was restored from disk, where it was last in use {@code awayUs} ago. */
    void recordRestored(long nowUs, long awayUs) {
        lastCaughtUpUs = nowUs - Math.min(Math.max(awayUs, 0), NEVER_US);
    }

    /** Records that a message from a member has arrived. */
    void recordHeard(String from, long nowUs) {
        if (peers.isConfigured(from)) {
            heardAtUs.put(from, nowUs);
        }
    }

    /** Returns the time when a member was last heard from, or a time before any possible message if it never was. */
    long lastHeardUs(String name) {
        return heardAtUs.getOrDefault(name, startUs - NEVER_US);
    }

    /** Records that the replica equals a member's, or has taken in all that the member's has. */
    void recordCompared(String with, long nowUs) {
        if (peers.isConfigured(with)) {
            comparedAtUs.put(with, nowUs);
        }
    }

    /** Updates whether the replica is caught up, and returns whether that has changed. */
    boolean update(long nowUs) {
        boolean hearsMajority =
                heardAtUs.values().stream().filter(at -> nowUs - at <= settings.silenceUs()).count() >= peers.othersForMajority();
        if (caughtUp) {
            if (!hearsMajority) {
                fallBehind();
            }
            return !caughtUp;
        }
        // An old comparison does not count: the member may have been silent since then.
        comparedAtUs.values().removeIf(at -> nowUs - at > settings.silenceUs());
        boolean alone = peers.configuredSize() == 1 && peers.othersForMajority() == 0;
        boolean promisesExpired = alone || nowUs - startUs > settings.promiseDurationUs();
        caughtUp = hearsMajority && promisesExpired && comparedAtUs.size() >= peers.othersForMajority();
        return caughtUp;
    }

    boolean isCaughtUp() {
        return caughtUp;
    }

    /** Returns the number of replicas, this one included, with which the replica has been compared. */
    int comparedCount() {
        return comparedAtUs.size() + peers.majority() - peers.othersForMajority();
    }

    /** Returns the time since the replica was last caught up, which is zero while it is. */
    long awayUs(long nowUs) {
        return caughtUp ? 0 : nowUs - lastCaughtUpUs;
    }

    /** Records that the replica has been emptied, so that it is as old as the replica that it is filled from. */
    void recordEmptied(long nowUs, long awayUs) {
        lastCaughtUpUs = nowUs - awayUs;
        comparedAtUs.clear();
    }

    /** Returns the time to add to the ages of arriving entries, because they may have waited in a socket while this member was paused. */
    long possibleDelayUs(long nowUs) {
        return nowUs - pauseEndUs <= settings.maxClockStepUs() ? pauseUs : 0;
    }

    private void fallBehind() {
        caughtUp = false;
        comparedAtUs.clear();
    }
}

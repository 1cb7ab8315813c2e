package walkpost.lab.relay;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * One way between two members, on a given clock in microseconds: what is handed in comes out later, twice or not at all. It
 * knows no sockets. Owned by the relay's loop.
 */
final class Way {
    private Conditions conditions;
    private final UniformRandomProvider random;
    private long busyUntilUs = Long.MIN_VALUE;
    private long lastOutUs = Long.MIN_VALUE;
    private boolean silent;

    Way(Conditions conditions, UniformRandomProvider random) {
        this.conditions = conditions;
        this.random = random;
    }

    /** Lets nothing pass from now on, or all again. */
    void silence(boolean now) {
        silent = now;
    }

    /** What is handed in from now on passes under these conditions. */
    void become(Conditions next) {
        conditions = next;
    }

    boolean silent() {
        return silent;
    }

    /** Returns when the copies of a datagram come out, the earliest first; none where it is lost. */
    List<Long> datagram(long now, int bytes) {
        // All is drawn for each, so that a silence leaves the fate of those after it as it was.
        boolean lost = random.nextDouble() < conditions.loss();
        boolean twice = random.nextDouble() < conditions.duplication();
        long one = delayUs();
        long other = delayUs();
        if (silent) {
            return List.of();
        }
        // What gets lost has taken up its part of the bandwidth all the same.
        long out = through(now, bytes);
        if (lost) {
            return List.of();
        }
        return twice ? List.of(out + Math.min(one, other), out + Math.max(one, other)) : List.of(out + one);
    }

    /** Returns when a piece of a stream comes out: no sooner than those before it. A silence holds it back further. */
    long piece(long now, int bytes) {
        lastOutUs = Math.max(lastOutUs, through(now, bytes) + delayUs());
        return lastOutUs;
    }

    private long through(long now, int bytes) {
        if (conditions.bytesPerS() == 0) {
            return now;
        }
        busyUntilUs = Math.max(busyUntilUs, now) + Math.round(Math.ceil(bytes * 1e6 / conditions.bytesPerS()));
        return busyUntilUs;
    }

    private long delayUs() {
        return Math.max(0, conditions.latencyUs() + Math.round(conditions.jitterUs() * (2 * random.nextDouble() - 1)));
    }
}

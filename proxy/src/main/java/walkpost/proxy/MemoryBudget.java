package walkpost.proxy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;

/**
 * Counts the memory that the peers of the process make it hold, because all connections share a limited heap and limited direct memory:
 * connections, heads, bodies and responses that are not written yet, each with what it takes and not with what it has on the wire. Above
 * the limit, bodies are passed on in place of being collected, and nothing is queued. Above {@link #evictionLimitBytes} requests that are
 * not complete are given up, the largest first. Used on the event loop only.
 */
final class MemoryBudget {
    /** A request that is not complete and can be given up, because no server has it whole. */
    interface Unfinished {
        /** Returns the memory that is held for it. */
        int heldBytes();

        /** Answers that it is refused; its memory is free once its client has closed, a second later at the latest. */
        void giveUp();

        /** Closes its connection at once, which frees its memory. */
        void closeNow();
    }

    /** A smaller one is not worth giving up: the rest of a sound request may arrive any moment. */
    static final int MIN_EVICTED_BYTES = 8 * 1024;
    /** The memory that an unfinished response or request may take above the limit, as a divisor of the limit. */
    private static final int EVICTION_MARGIN_DIVISOR = 4;

    private final long limitBytes;
    private final Executor loop;
    private final Set<Unfinished> unfinished = new LinkedHashSet<>();
    private final EventLog log = new EventLog("memory");
    private long reservedBytes;
    private long evictions;
    private boolean evictionScheduled;

    /** Creates a budget that never gives up requests by itself. */
    MemoryBudget(long limitBytes) {
        this(limitBytes, task -> { });
    }

    /**
     * Creates a budget.
     *
     * @param loop runs tasks on the event loop, after the work in progress
     */
    MemoryBudget(long limitBytes, Executor loop) {
        this.limitBytes = limitBytes;
        this.loop = loop;
    }

    void reserve(int bytes) {
        reservedBytes += bytes;
        if (reservedBytes > evictionLimitBytes() && !evictionScheduled && !unfinished.isEmpty()) {
            evictionScheduled = true;
            // Not within the reservation, because the request that it is made for may be the one to give up.
            loop.execute(() -> {
                evictionScheduled = false;
                evict();
            });
        }
    }

    void release(int bytes) {
        reservedBytes -= bytes;
    }

    /** Returns whether the limit is reached, so that bodies are passed on instead of being collected further. */
    boolean isExhausted() {
        return reservedBytes >= limitBytes;
    }

    /** Returns whether less than half of the limit is left. */
    boolean isScarce() {
        return reservedBytes >= limitBytes / 2;
    }

    long reservedBytes() {
        return reservedBytes;
    }

    /** Returns the number of requests that were given up since the start of the process. */
    long evictions() {
        return evictions;
    }

    private long evictionLimitBytes() {
        return Math.max(limitBytes, limitBytes + limitBytes / EVICTION_MARGIN_DIVISOR);
    }

    /** Notes whether a request is unfinished, so that it may be given up. */
    void setUnfinished(Unfinished request, boolean isUnfinished) {
        if (isUnfinished) {
            unfinished.add(request);
        } else {
            unfinished.remove(request);
        }
    }

    /** Gives up unfinished requests, the largest first, until the limit is kept or only small ones are left. */
    private void evict() {
        List<Unfinished> largestFirst = new ArrayList<>(unfinished);
        largestFirst.sort(Comparator.comparingInt(Unfinished::heldBytes).reversed());
        long excessBytes = reservedBytes - limitBytes;
        int count = 0;
        for (Unfinished request : largestFirst) {
            if (excessBytes <= 0 || request.heldBytes() < MIN_EVICTED_BYTES) {
                break;
            }
            excessBytes -= request.heldBytes();
            unfinished.remove(request);
            request.giveUp();
            count++;
        }
        evictions += count;
        if (count > 0) {
            log.warn("unfinished_given_up", "count", count, "total", evictions, "reserved_bytes", reservedBytes,
                    "limit_bytes", limitBytes);
        }
    }

    /** Closes the connections of all unfinished requests, because the process has no memory left. */
    void closeAllUnfinished() {
        evictions += unfinished.size();
        List<Unfinished> all = List.copyOf(unfinished);
        unfinished.clear();
        all.forEach(Unfinished::closeNow);
    }
}

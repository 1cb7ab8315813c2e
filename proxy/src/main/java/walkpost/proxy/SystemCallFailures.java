package walkpost.proxy;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Counts failed system calls by call and error, and logs each kind at its first failure and then once in a while at the most: a burst of
 * them must not flood the log. Any thread may use it.
 */
final class SystemCallFailures {
    /** How often at most a kind of failure is logged. */
    static final long LOG_EVERY_NS = TimeUnit.SECONDS.toNanos(1);
    /** Messages may name addresses; so many kinds are told apart, and the rest are counted as one. */
    private static final int MOST_KINDS = 64;

    private record Kind(String call, String error) {
        @Override
        public String toString() {
            return call + ": " + error;
        }
    }

    private static final class Count {
        private long failures;
        private long loggedNs;
        private long logged;
    }

    /** Hears of a kind of failure now and then. */
    interface Report {
        /** It has come about {@code total} times in all, and {@code sinceLast} times since the report before. */
        void failed(String call, String error, long total, long sinceLast);
    }

    private static final Log LOG = new Log("system_calls");

    private final LongSupplier nanoTime;
    private final Report report;
    private final Map<Kind, Count> counts = new HashMap<>();

    SystemCallFailures() {
        this(System::nanoTime, (call, error, total, sinceLast) ->
                LOG.warn("system_call_failed", "call", call, "error", error, "total", total, "since_last_line", sinceLast));
    }

    /** Creates one with a clock of its own, in nanoseconds, and another report than the log. */
    SystemCallFailures(LongSupplier nanoTime, Report report) {
        this.nanoTime = nanoTime;
        this.report = report;
    }

    /** Takes note of a call that has failed. */
    synchronized void failed(String call, IOException cause) {
        var kind = new Kind(call, String.valueOf(cause.getMessage()));
        if (!counts.containsKey(kind) && counts.size() >= MOST_KINDS) {
            kind = new Kind(call, "other");
        }
        Count count = counts.computeIfAbsent(kind, k -> new Count());
        count.failures++;
        long now = nanoTime.getAsLong();
        if (count.logged == 0 || now - count.loggedNs >= LOG_EVERY_NS) {
            report.failed(kind.call(), kind.error(), count.failures, count.failures - count.logged);
            count.logged = count.failures;
            count.loggedNs = now;
        }
    }

    /** Returns how many calls have failed so far, by "call: error". */
    synchronized Map<String, Long> totals() {
        var totals = new TreeMap<String, Long>();
        counts.forEach((kind, count) -> totals.merge(kind.toString(), count.failures, Long::sum));
        return totals;
    }
}

package walkpost.proxy;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Counts failed system calls by call and error. It logs the first failure of each kind and then each kind at most once per interval, so
 * that a burst of failures does not flood the log. Thread-safe.
 */
final class SystemCallFailureCounter {
    /** How often a kind of failure is logged at most. */
    static final long LOG_INTERVAL_NS = TimeUnit.SECONDS.toNanos(1);
    /** How many kinds are counted separately; the rest are counted as one. The bound is needed because messages may contain addresses. */
    private static final int MAX_KINDS = 64;

    private record Kind(String call, String error) {
        @Override
        public String toString() {
            return call + ": " + error;
        }
    }

    private static final class Count {
        private long failures;
        private long reportedNs;
        /** The value of {@link #failures} at the last report; 0 before the first. */
        private long reportedFailures;
    }

    /** Reports a kind of failure. */
    interface Reporter {
        /**
         * Reports failures of one kind.
         *
         * @param total how many there were since the start of the process
         * @param sinceLast how many there were since the last report
         */
        void report(String call, String error, long total, long sinceLast);
    }

    private static final EventLog LOG = new EventLog("system_calls");

    private final LongSupplier nanoTime;
    private final Reporter reporter;
    private final Map<Kind, Count> counts = new HashMap<>();

    /** Creates a counter that reports to the log. */
    SystemCallFailureCounter() {
        this(System::nanoTime, (call, error, total, sinceLast) ->
                LOG.warn("system_call_failed", "call", call, "error", error, "total", total, "since_last_line", sinceLast));
    }

    /** Creates a counter with another clock, in nanoseconds, and another reporter. */
    SystemCallFailureCounter(LongSupplier nanoTime, Reporter reporter) {
        this.nanoTime = nanoTime;
        this.reporter = reporter;
    }

    /** Counts a failed call, and reports it if its kind has not been reported within the interval. */
    synchronized void record(String call, IOException cause) {
        var kind = new Kind(call, String.valueOf(cause.getMessage()));
        if (!counts.containsKey(kind) && counts.size() >= MAX_KINDS) {
            kind = new Kind(call, "other");
        }
        Count count = counts.computeIfAbsent(kind, k -> new Count());
        count.failures++;
        long nowNs = nanoTime.getAsLong();
        if (count.reportedFailures == 0 || nowNs - count.reportedNs >= LOG_INTERVAL_NS) {
            reporter.report(kind.call(), kind.error(), count.failures, count.failures - count.reportedFailures);
            count.reportedFailures = count.failures;
            count.reportedNs = nowNs;
        }
    }

    /** Returns the number of failed calls by "call: error". */
    synchronized Map<String, Long> totals() {
        var totals = new TreeMap<String, Long>();
        counts.forEach((kind, count) -> totals.merge(kind.toString(), count.failures, Long::sum));
        return totals;
    }
}

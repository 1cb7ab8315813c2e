package walkpost.log;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.event.KeyValuePair;
import org.slf4j.event.Level;

/** Writes events to standard error, one line each, up to a limit of lines per second. Thread-safe; writes one line at a time. */
final class ErrorStreamWriter {
    private static final int MAX_LINES_PER_SECOND = 20;

    private final LineFormat format;
    private final LineRateLimiter limiter = new LineRateLimiter(MAX_LINES_PER_SECOND);

    ErrorStreamWriter(LineFormat format) {
        this.format = format;
    }

    /** Returns whether a line may be written now. A caller that gets false builds no line, so that a dropped one costs little. */
    synchronized boolean tryAcquire() {
        return limiter.tryAcquire(TimeUnit.NANOSECONDS.toSeconds(System.nanoTime()));
    }

    /** Writes an event, after {@link #tryAcquire} has returned true for it. */
    synchronized void write(Level level, String component, String event, List<KeyValuePair> fields) {
        long nowMs = System.currentTimeMillis();
        int droppedLines = limiter.takeDroppedLines();
        if (droppedLines > 0) {
            write(new LogEvent(nowMs, "WARN", "log", "lines_left_out", List.of(new KeyValuePair("count", droppedLines))));
        }
        write(new LogEvent(nowMs, level.name(), component, event, fields));
    }

    private void write(LogEvent event) {
        // Reads System.err for each line, because a process that shares its listening socket replaces that stream.
        System.err.println(format.format(event));
    }
}

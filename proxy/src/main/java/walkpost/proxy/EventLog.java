package walkpost.proxy;

import java.io.FileNotFoundException;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/** Logs the events of one component of the proxy. An event is one word, followed by fields. Thread-safe. */
final class EventLog {
    private final Logger logger;

    /** Creates the log of a component, under the name by which operators know it. */
    EventLog(String component) {
        logger = LoggerFactory.getLogger(component);
    }

    /**
     * Opens standard error anew, so that logging goes on after its descriptor is closed, which the JDK does when it closes an inherited
     * socket. If it can't be opened, the log ends when that socket is closed.
     */
    static void reopenErrorStream() {
        try {
            System.setErr(new PrintStream(new FileOutputStream("/proc/self/fd/2", true), true, StandardCharsets.UTF_8));
        } catch (FileNotFoundException e) {
            new EventLog("log").warn("stream_not_kept", "reason", e.getMessage(), "lost", "what is logged after the shared listener is closed");
        }
    }

    /**
     * Logs an expected event.
     *
     * @param fields keys, which are strings, and values in turn
     */
    void info(String event, Object... fields) {
        log(logger.atInfo(), event, fields);
    }

    /** Logs an error of another party, or a condition that must not last; {@code fields} as for {@link #info}. */
    void warn(String event, Object... fields) {
        log(logger.atWarn(), event, fields);
    }

    /** Logs a fault of this program with its cause and the line that threw it; {@code fields} as for {@link #info}. */
    void error(String event, Throwable cause, Object... fields) {
        log(logger.atError().setCause(cause), event, fields);
    }

    private static void log(LoggingEventBuilder builder, String event, Object... fields) {
        for (int i = 0; i < fields.length; i += 2) {
            builder = builder.addKeyValue((String) fields[i], fields[i + 1]);
        }
        builder.log(event);
    }
}

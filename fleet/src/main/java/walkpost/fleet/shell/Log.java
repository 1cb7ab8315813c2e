package walkpost.fleet.shell;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/** What the fleet's part of a process tells the operators: an event, as one word, and its fields. */
final class Log {
    private static final Logger OUT = LoggerFactory.getLogger("fleet");

    private Log() { }

    /** Tells what went as it should; fields are keys and values in turn. */
    static void info(String event, Object... fields) {
        tell(OUT.atInfo(), event, fields);
    }

    /** Tells what others did wrong, or what may not go on for long. */
    static void warn(String event, Object... fields) {
        tell(OUT.atWarn(), event, fields);
    }

    /** Tells what went wrong in this program, with the place in it. */
    static void failure(String event, Throwable cause, Object... fields) {
        tell(OUT.atError().setCause(cause), event, fields);
    }

    private static void tell(LoggingEventBuilder line, String event, Object... fields) {
        for (int i = 0; i < fields.length; i += 2) {
            line = line.addKeyValue((String) fields[i], fields[i + 1]);
        }
        line.log(event);
    }
}

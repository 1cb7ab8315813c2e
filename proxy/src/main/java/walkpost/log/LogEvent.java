package walkpost.log;

import java.util.List;
import org.slf4j.event.KeyValuePair;

/**
 * One event in the log.
 *
 * @param atMs the time in milliseconds since 1970
 * @param level the name of the SLF4J level
 * @param component the component of the program, or the class of a library, that logged the event
 * @param event the event, as one word
 * @param fields the details of the event, in the order in which they are written
 */
record LogEvent(long atMs, String level, String component, String event, List<KeyValuePair> fields) { }

package walkpost.log;

import java.util.ArrayList;
import java.util.List;
import org.slf4j.Marker;
import org.slf4j.event.KeyValuePair;
import org.slf4j.event.Level;
import org.slf4j.event.LoggingEvent;
import org.slf4j.helpers.LegacyAbstractLogger;
import org.slf4j.helpers.MessageFormatter;
import org.slf4j.spi.LoggingEventAware;

/** The logger of one component, or of one class of a library. DEBUG and TRACE are disabled. Thread-safe. */
final class ComponentLogger extends LegacyAbstractLogger implements LoggingEventAware {
    private static final long serialVersionUID = 1L;

    private final transient ErrorStreamWriter writer;

    ComponentLogger(String name, ErrorStreamWriter writer) {
        this.name = name;
        this.writer = writer;
    }

    @Override
    public void log(LoggingEvent event) {
        write(event.getLevel(), event.getMessage(), event.getArgumentArray(), event.getKeyValuePairs(), event.getThrowable());
    }

    @Override
    protected void handleNormalizedLoggingCall(Level level, Marker marker, String message, Object[] arguments, Throwable cause) {
        write(level, message, arguments, null, cause);
    }

    private void write(Level level, String message, Object[] arguments, List<KeyValuePair> pairs, Throwable cause) {
        if (!writer.tryAcquire()) {
            return;
        }
        String text = MessageFormatter.basicArrayFormat(message, arguments);
        var fields = new ArrayList<KeyValuePair>();
        // Libraries log whole sentences, under the names of their classes; these become the field "text" of the event "library".
        boolean library = name.indexOf('.') >= 0;
        if (library) {
            fields.add(new KeyValuePair("text", text));
        }
        if (pairs != null) {
            fields.addAll(pairs);
        }
        if (cause != null) {
            fields.add(new KeyValuePair("cause", cause));
            if (cause.getStackTrace().length > 0) {
                fields.add(new KeyValuePair("at", cause.getStackTrace()[0]));
            }
        }
        writer.write(level, name, library ? "library" : text, fields);
    }

    @Override
    protected String getFullyQualifiedCallerName() {
        return null;
    }

    @Override
    public boolean isTraceEnabled() {
        return false;
    }

    @Override
    public boolean isDebugEnabled() {
        return false;
    }

    @Override
    public boolean isInfoEnabled() {
        return true;
    }

    @Override
    public boolean isWarnEnabled() {
        return true;
    }

    @Override
    public boolean isErrorEnabled() {
        return true;
    }
}

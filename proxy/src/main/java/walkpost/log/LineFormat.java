package walkpost.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import org.slf4j.event.KeyValuePair;

/** A format in which an event is written, always as a single line, whatever its fields contain. Thread-safe. */
enum LineFormat {
    /** Time, level, component, event, then each field as {@code key=value}. */
    TEXT {
        @Override
        String format(LogEvent event) {
            var text = new StringBuilder(160);
            appendTime(text, event.atMs());
            text.append(' ').append(event.level()).append(' ').append(event.component()).append(' ').append(event.event());
            for (KeyValuePair field : event.fields()) {
                text.append(' ').append(field.key).append('=');
                appendValue(text, String.valueOf(field.value));
            }
            return text.toString();
        }
    },

    /**
     * A JSON object with {@code time}, {@code level}, {@code component}, {@code event} and the fields. Integers are written as numbers,
     * booleans as booleans, and every other value as a string.
     */
    JSON {
        @Override
        String format(LogEvent event) {
            var text = new StringWriter(200);
            try (JsonGenerator json = Json.FACTORY.createGenerator(text)) {
                json.writeStartObject();
                json.writeStringField("time", appendTime(new StringBuilder(), event.atMs()).toString());
                json.writeStringField("level", event.level());
                json.writeStringField("component", event.component());
                json.writeStringField("event", event.event());
                for (KeyValuePair field : event.fields()) {
                    json.writeFieldName(field.key);
                    if (field.value instanceof Integer || field.value instanceof Long) {
                        json.writeNumber(((Number) field.value).longValue());
                    } else if (field.value instanceof Boolean flag) {
                        json.writeBoolean(flag);
                    } else {
                        json.writeString(String.valueOf(field.value));
                    }
                }
                json.writeEndObject();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return text.toString();
        }
    };

    /** Holds the JSON factory, so that its class, which is not small, is loaded only if JSON is used. */
    private static final class Json {
        static final JsonFactory FACTORY = new JsonFactory();
    }

    /** Returns the line for an event, without a line break. */
    abstract String format(LogEvent event);

    /** Appends a time in RFC 3339, UTC, with milliseconds. The JDK's formatters would take a large part of the time of a start. */
    private static StringBuilder appendTime(StringBuilder text, long atMs) {
        LocalDateTime time = LocalDateTime.ofEpochSecond(Math.floorDiv(atMs, 1_000L), 0, ZoneOffset.UTC);
        text.append(time.toLocalDate()).append('T');
        appendDigits(text, time.getHour(), 2).append(':');
        appendDigits(text, time.getMinute(), 2).append(':');
        appendDigits(text, time.getSecond(), 2).append('.');
        return appendDigits(text, (int) Math.floorMod(atMs, 1_000L), 3).append('Z');
    }

    private static StringBuilder appendDigits(StringBuilder text, int number, int count) {
        String digits = Integer.toString(number);
        return text.append("0".repeat(count - digits.length())).append(digits);
    }

    /** Appends a value as it is, or in quotes and with escapes if it is empty or has a character that could be taken for a separator. */
    private static void appendValue(StringBuilder text, String value) {
        if (!value.isEmpty() && value.chars().allMatch(c -> c > ' ' && c != '"' && c != '=' && c != 0x7f)) {
            text.append(value);
            return;
        }
        text.append('"');
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            switch (c) {
                case '"', '\\' -> text.append('\\').append(c);
                case '\n' -> text.append("\\n");
                case '\r' -> text.append("\\r");
                default -> text.append(c < ' ' || c == 0x7f ? '?' : c);
            }
        }
        text.append('"');
    }
}

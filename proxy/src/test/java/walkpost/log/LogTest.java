package walkpost.log;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.slf4j.ILoggerFactory;
import org.slf4j.event.KeyValuePair;

/** Tests that each event becomes one line, whatever its fields contain, and that the number of lines is limited. */
final class LogTest {
    private static final long AT_MS = 1_796_165_999_007L;

    private static LogEvent event(Object... fields) {
        var pairs = new java.util.ArrayList<KeyValuePair>();
        for (int i = 0; i < fields.length; i += 2) {
            pairs.add(new KeyValuePair((String) fields[i], fields[i + 1]));
        }
        return new LogEvent(AT_MS, "WARN", "discovery", "call_failed", pairs);
    }

    @Test
    void textHasTimeLevelComponentEventAndFields() {
        assertThat(LineFormat.TEXT.format(event("tries", 3, "reason", "no connection", "empty", "")))
                .isEqualTo("2026-12-01T22:59:59.007Z WARN discovery call_failed tries=3 reason=\"no connection\" empty=\"\"");
    }

    @Test
    void aFieldCanNeitherBreakTheLineNorForgeAnotherField() {
        assertThat(LineFormat.TEXT.format(event("entry", "a\"b\\c\nd\re\u0007 f=1")))
                .endsWith(" entry=\"a\\\"b\\\\c\\nd\\re? f=1\"").doesNotContain("\n").doesNotContain("\r");
        assertThat(LineFormat.JSON.format(event("entry", "a\nb"))).doesNotContain("\n");
    }

    @Test
    void jsonHasTheSamePartsAndKeepsNumbersAndBooleans() throws Exception {
        JsonNode json = new ObjectMapper().readTree(LineFormat.JSON.format(event("tries", 3, "left", true, "reason", "x \"y\"")));
        assertThat(json.get("time").asText()).isEqualTo("2026-12-01T22:59:59.007Z");
        assertThat(json.get("level").asText()).isEqualTo("WARN");
        assertThat(json.get("component").asText()).isEqualTo("discovery");
        assertThat(json.get("event").asText()).isEqualTo("call_failed");
        assertThat(json.get("tries").isInt()).isTrue();
        assertThat(json.get("left").isBoolean()).isTrue();
        assertThat(json.get("reason").asText()).isEqualTo("x \"y\"");
    }

    @Test
    void admitsLimitedLinesPerSecondAndCountsTheRest() {
        var limiter = new LineRateLimiter(2);
        assertThat(List.of(limiter.tryAcquire(7), limiter.tryAcquire(7), limiter.tryAcquire(7), limiter.tryAcquire(7)))
                .containsExactly(true, true, false, false);
        assertThat(limiter.takeDroppedLines()).isZero();
        assertThat(limiter.tryAcquire(8)).isTrue();
        assertThat(limiter.takeDroppedLines()).isEqualTo(2);
        assertThat(limiter.takeDroppedLines()).isZero();
    }

    @Test
    void libraryMessagesAndExceptionsBecomeEvents() {
        var written = new ByteArrayOutputStream();
        PrintStream before = System.err;
        System.setErr(new PrintStream(written, true, StandardCharsets.UTF_8));
        try {
            var provider = new Provider();
            provider.initialize();
            ILoggerFactory loggers = provider.getLoggerFactory();
            loggers.getLogger("io.netty.Some").info("{} words", "two");
            loggers.getLogger("io.netty.Some").debug("not logged");
            loggers.getLogger("serve").atError().setCause(new IllegalStateException("why")).addKeyValue("request", 7).log("made_up");
        } finally {
            System.setErr(before);
        }
        List<String> lines = written.toString(StandardCharsets.UTF_8).lines()
                // Other code in this process may log as well.
                .filter(line -> line.contains("io.netty.Some") || line.contains("made_up")).toList();
        assertThat(lines).hasSize(2);
        assertThat(lines.get(0)).endsWith(" INFO io.netty.Some library text=\"two words\"");
        assertThat(lines.get(1)).contains(" ERROR serve made_up request=7 cause=\"java.lang.IllegalStateException: why\" at=");
    }
}

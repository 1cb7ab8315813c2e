package beechfall.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The code that the first clients meet has run before, and nothing of that is left. */
class WarmupTest {
    @Test
    void servesAsManyMadeUpRequestsAsItTakesToCompileTheirCode() throws Exception {
        var settings = Config.parse(Fixture.config()).settings();
        assertThat(Warmup.run(settings, TimeUnit.MINUTES.toMillis(5))).isGreaterThanOrEqualTo(Warmup.REQUESTS);
    }

    /** The program as it is started: what it says first is how it was warmed up, and only then does it listen. */
    @Test
    void listensOnlyOnceItIsWarm(@TempDir Path dir) throws Exception {
        try (var program = new Program(dir, Fixture.config())) {
            assertThat(program.log.readLine()).matches("warmed up with [1-9]\\d* made-up requests");
            assertThat(program.line("listening")).startsWith("n0: ");
            try (var left = Files.list(dir)) {
                assertThat(left).containsExactly(dir.resolve("config.json"));
            }
        }
    }
}

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
        Path file = Files.writeString(dir.resolve("config.json"), Fixture.config().toString());
        var command = new ProcessBuilder(ProcessHandle.current().info().command().orElseThrow(), "-Djava.io.tmpdir=" + dir,
                "-cp", System.getProperty("java.class.path"), "beechfall.Main", "serve").redirectErrorStream(true);
        command.environment().put("PROXY_CONFIG", file.toString());
        Process process = command.start();
        try (var log = process.inputReader()) {
            assertThat(log.readLine()).matches("warmed up with [1-9]\\d* made-up requests");
            assertThat(log.lines().filter(l -> l.startsWith("n0: ")).findFirst()).get().asString().contains("listening");
            try (var left = Files.list(dir)) {
                assertThat(left).containsExactly(file);
            }
        } finally {
            process.destroyForcibly().waitFor();
        }
    }
}

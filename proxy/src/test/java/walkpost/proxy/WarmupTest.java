package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The code that the first clients meet has run before, and nothing of that is left. */
class WarmupTest {
    @Test
    void servesAsManyMadeUpRequestsAsItIsTold(@TempDir Path dir) throws Exception {
        var settings = Config.parse(Fixture.config()).settings();
        long longMs = TimeUnit.MINUTES.toMillis(5);
        assertThat(Warmup.run(settings, 50, dir, Warmup.CLIENTS, longMs, longMs)).isBetween(50, 50 + Warmup.CLIENTS);
    }

    /** Some hosts lead nobody to a socket in the file system: that costs the wait for the first answer, not for all. */
    @Test
    @Timeout(60)
    void endsWhereNothingIsAnsweredInTime(@TempDir Path dir) throws Exception {
        var settings = Config.parse(Fixture.config()).settings();
        assertThat(Warmup.run(settings, 50, dir, 0, 1, TimeUnit.MINUTES.toMillis(5))).isZero();
    }

    /** A tenth of a core takes in 25 requests a second while its code is cold; there are two proxies. */
    @Test
    void isTheLongerTheFurtherTheTrafficIsBeyondWhatColdCodeTakesIn() throws Exception {
        assertThat(Warmup.requests(Config.parse(config(40)).settings(), 0.1)).isZero();
        assertThat(Warmup.requests(Config.parse(config(51)).settings(), 0.1)).isBetween(40, 45);
        assertThat(Warmup.requests(Config.parse(config(100)).settings(), 0.1)).isBetween(140, 150);
        assertThat(Warmup.requests(Config.parse(config(8_000)).settings(), 0.1)).isEqualTo(Warmup.MOST_REQUESTS);
    }

    @Test
    void aProxyOfManyListensAtOnce(@TempDir Path dir) throws Exception {
        try (var program = new Program(dir, Fixture.config())) {
            assertThat(program.line("warmed_up|listening")).contains(" serve listening proxy=n0 port=");
        }
    }

    private static ObjectNode config(int allowancePerS) throws IOException {
        ObjectNode config = Fixture.config();
        ((ObjectNode) config.path("settings").path("projects").path(0)).put("allowance_per_s", allowancePerS);
        return config;
    }

    /** The program as it is started: how it was warmed up comes first, and only then does it listen. */
    @Test
    void listensOnlyOnceItIsWarm(@TempDir Path dir) throws Exception {
        try (var program = new Program(dir, config(8_000))) {
            assertThat(program.line("warmed_up|listening|library")).matches(".* INFO serve warmed_up requests=[1-9]\\d*");
            assertThat(program.line("listening")).contains(" proxy=n0 ");
            try (var left = Files.list(dir)) {
                assertThat(left).containsExactly(dir.resolve("config.json"));
            }
        }
    }
}

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

/** Tests that the proxy warms up before it listens, for a suitable time, and leaves no files behind. */
class WarmupTest {
    @Test
    void servesTheGivenNumberOfRequests(@TempDir Path dir) throws Exception {
        var settings = Config.parse(ProxyFixture.config()).settings();
        long timeoutMs = TimeUnit.MINUTES.toMillis(5);
        assertThat(Warmup.run(settings, 50, dir, Warmup.CLIENTS, timeoutMs, timeoutMs)).isBetween(50, 50 + Warmup.CLIENTS);
    }

    /** Some hosts do not connect Unix domain sockets. The warm-up then ends after the wait for the first answer. */
    @Test
    @Timeout(60)
    void endsEarlyIfNoRequestIsAnswered(@TempDir Path dir) throws Exception {
        var settings = Config.parse(ProxyFixture.config()).settings();
        assertThat(Warmup.run(settings, 50, dir, 0, 1, TimeUnit.MINUTES.toMillis(5))).isZero();
    }

    /** A tenth of a core serves 25 requests a second while the code is cold, and there are two proxies. */
    @Test
    void requestCountGrowsWithTheLoad() throws Exception {
        assertThat(Warmup.requestCount(Config.parse(config(40)).settings(), 0.1)).isZero();
        assertThat(Warmup.requestCount(Config.parse(config(51)).settings(), 0.1)).isBetween(40, 45);
        assertThat(Warmup.requestCount(Config.parse(config(100)).settings(), 0.1)).isBetween(140, 150);
        assertThat(Warmup.requestCount(Config.parse(config(8_000)).settings(), 0.1)).isEqualTo(Warmup.MAX_REQUESTS);
    }

    @Test
    void aProxyWithLittleTrafficListensWithoutAWarmup(@TempDir Path dir) throws Exception {
        try (var process = new ServeProcess(dir, ProxyFixture.config())) {
            assertThat(process.waitForLine("warmed_up|listening")).contains(" serve listening proxy=n0 port=");
        }
    }

    private static ObjectNode config(int allowancePerS) throws IOException {
        ObjectNode config = ProxyFixture.config();
        ((ObjectNode) config.path("settings").path("projects").path(0)).put("allowance_per_s", allowancePerS);
        return config;
    }

    /** A real process logs its warm-up and listens only after that. */
    @Test
    void listensOnlyAfterTheWarmup(@TempDir Path dir) throws Exception {
        try (var process = new ServeProcess(dir, config(8_000))) {
            assertThat(process.waitForLine("warmed_up|listening|library")).matches(".* INFO serve warmed_up requests=[1-9]\\d*");
            assertThat(process.waitForLine("listening")).contains(" proxy=n0 ");
            try (var filesLeft = Files.list(dir)) {
                assertThat(filesLeft).containsExactly(dir.resolve("config.json"));
            }
        }
    }
}

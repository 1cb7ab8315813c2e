package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Tests that every failed call is counted and that a burst of them does not flood the log. */
class SystemCallFailureCounterTest {
    private final AtomicLong nanoTime = new AtomicLong();
    private final List<String> reports = new ArrayList<>();
    private final SystemCallFailureCounter failures = new SystemCallFailureCounter(nanoTime::get,
            (call, error, total, sinceLast) -> reports.add(call + " " + total + " " + sinceLast));

    @Test
    void countsEveryFailureOfABurstAndReportsOncePerSecond() {
        var cause = new IOException("No buffer space available");
        for (int i = 0; i < 10_000; i++) {
            failures.record("write", cause);
        }
        nanoTime.addAndGet(SystemCallFailureCounter.LOG_INTERVAL_NS);
        failures.record("write", cause);
        assertThat(failures.totals()).containsExactly(Map.entry("write: No buffer space available", 10_001L));
        assertThat(reports).containsExactly("write 1 1", "write 10001 10000");
    }

    @Test
    void boundsTheNumberOfKindsIfEveryMessageDiffers() {
        for (int i = 0; i < 1_000; i++) {
            failures.record("connect", new IOException("No route to 10.0.0." + i));
        }
        assertThat(failures.totals()).hasSizeLessThan(70).containsKey("connect: other");
        assertThat(failures.totals().values().stream().mapToLong(Long::longValue).sum()).isEqualTo(1_000);
    }
}

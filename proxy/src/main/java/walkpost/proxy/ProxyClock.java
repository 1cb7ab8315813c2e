package walkpost.proxy;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.function.LongSupplier;

/**
 * The proxy's only clock: Unix time in microseconds. It reads the system clock once and is advanced by the monotonic timer, so it never
 * goes back when the system clock is set, but keeps the error that the system clock had at the start. {@link ServerStartTimes} says how
 * the start times of servers are known in spite of that. Thread-safe.
 */
final class ProxyClock {
    private final long startUnixUs = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    private final LongSupplier timer;
    private final long startTimerNs;

    ProxyClock() {
        this(System::nanoTime);
    }

    /** Creates a clock that is advanced by another timer, in nanoseconds, which must never go back. */
    ProxyClock(LongSupplier timer) {
        this.timer = timer;
        this.startTimerNs = timer.getAsLong();
    }

    /** Returns the time in microseconds since 1970. */
    long nowUs() {
        return startUnixUs + (timer.getAsLong() - startTimerNs) / 1_000;
    }
}

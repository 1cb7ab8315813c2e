package walkpost.proxy;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.function.LongSupplier;

/**
 * The proxy's one clock: Unix time in microseconds, read from the system once and carried on by the monotonic timer.
 * It never goes back when the system's time is set, but begins as wrong as that was: {@link ServerStartTimes} says how old a server's start
 * is known to be all the same.
 */
final class Clock {
    private final long unixUs = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    private final LongSupplier timer;
    private final long nanos;

    Clock() {
        this(System::nanoTime);
    }

    /** Makes one that is carried on by another timer, in nanoseconds, that never goes back. */
    Clock(LongSupplier timer) {
        this.timer = timer;
        this.nanos = timer.getAsLong();
    }

    long now() {
        return unixUs + (timer.getAsLong() - nanos) / 1_000;
    }
}

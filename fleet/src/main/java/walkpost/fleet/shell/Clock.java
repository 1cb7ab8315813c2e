package walkpost.fleet.shell;

import java.util.concurrent.TimeUnit;

/** A monotonic clock; it goes on while the process is stopped. */
@FunctionalInterface
interface Clock {
    Clock MONOTONIC = () -> TimeUnit.NANOSECONDS.toMicros(System.nanoTime());

    long nowUs();
}

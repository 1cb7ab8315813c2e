package walkpost.lab.net;

/** The one clock of a play: monotonic microseconds from its zero, which is set once the fleet is ready. */
public final class PlayClock {
    private volatile long zeroNs = System.nanoTime();
    private volatile long zeroUnixMs = System.currentTimeMillis();

    /** Makes a moment so far from now the zero. */
    public void zeroIn(long us) {
        zeroNs = System.nanoTime() + us * 1_000;
        zeroUnixMs = System.currentTimeMillis() + us / 1_000;
    }

    /** Returns the microseconds since the zero; below 0 before it. */
    public long now() {
        return Math.floorDiv(System.nanoTime() - zeroNs, 1_000L);
    }

    /** Returns the nanoseconds of {@link System#nanoTime} that stand for a moment. */
    public long nanosAt(long us) {
        return zeroNs + us * 1_000;
    }

    /** Returns the zero in Unix time and milliseconds. */
    public long zeroUnixMs() {
        return zeroUnixMs;
    }
}

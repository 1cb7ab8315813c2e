package walkpost.log;

/**
 * Admits a limited number of lines per second and counts the rest, so that an error that happens thousands of times a second does not
 * take the CPU from requests that succeed. Not thread-safe; {@link ErrorStreamWriter} calls it under its lock.
 */
final class LineRateLimiter {
    private final int maxLinesPerSecond;
    private long currentSecond = Long.MIN_VALUE;
    private int admittedLines;
    private int droppedLines;
    /** The lines dropped in earlier seconds whose number has not been taken yet. */
    private int unreportedLines;

    LineRateLimiter(int maxLinesPerSecond) {
        this.maxLinesPerSecond = maxLinesPerSecond;
    }

    /**
     * Returns whether a line may be written.
     *
     * @param second the current time in whole seconds since any fixed moment
     */
    boolean tryAcquire(long second) {
        if (second != currentSecond) {
            currentSecond = second;
            admittedLines = 0;
            unreportedLines += droppedLines;
            droppedLines = 0;
        }
        if (admittedLines == maxLinesPerSecond) {
            droppedLines++;
            return false;
        }
        admittedLines++;
        return true;
    }

    /** Returns the number of lines that were dropped in earlier seconds and that no earlier call has returned. */
    int takeDroppedLines() {
        int dropped = unreportedLines;
        unreportedLines = 0;
        return dropped;
    }
}

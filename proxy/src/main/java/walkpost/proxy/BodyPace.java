package walkpost.proxy;

/**
 * Decides whether the body of a request still arrives: it must bring {@link #MIN_BYTES_PER_PERIOD} in each period, and must not stop for as
 * long as a period. A client that has stopped must get an error or a close within 3 s. Has no clock; times are in microseconds on the
 * proxy's clock. Used on the event loop only.
 */
final class BodyPace {
    static final long PERIOD_US = 2_500_000;
    /** A tenth of what the platform's slowest client sends in {@link #PERIOD_US}. */
    static final int MIN_BYTES_PER_PERIOD = 16 * 1024;

    private long periodStartUs;
    private long lastReadUs;
    private int bytesInPeriod;

    /** Creates the pace of a body that is expected from now on. */
    BodyPace(long nowUs) {
        restart(nowUs);
    }

    /** Starts a period, because the client could not send until now. */
    void restart(long nowUs) {
        periodStartUs = nowUs;
        lastReadUs = nowUs;
        bytesInPeriod = 0;
    }

    /** Notes that bytes of the body have arrived. */
    void onRead(long nowUs, int bytes) {
        lastReadUs = bytes > 0 ? nowUs : lastReadUs;
        bytesInPeriod += bytes;
    }

    /** Returns whether nothing has arrived since the period began. */
    boolean isSilent() {
        return bytesInPeriod == 0;
    }

    /** Returns whether the body is neither too slow nor has stopped; starts the next period if one is over. */
    boolean isKept(long nowUs) {
        if (nowUs - lastReadUs >= PERIOD_US) {
            return false;
        }
        if (nowUs - periodStartUs < PERIOD_US) {
            return true;
        }
        boolean fastEnough = bytesInPeriod >= MIN_BYTES_PER_PERIOD;
        periodStartUs = nowUs;
        bytesInPeriod = 0;
        return fastEnough;
    }

    /** Returns the time at which {@link #isKept} is to be asked next. */
    long nextCheckUs() {
        return Math.min(periodStartUs, lastReadUs) + PERIOD_US;
    }
}

package walkpost.proxy;

/**
 * Tells whether a client that is just accepted may have waited in the listener's queue: while no more were accepted, or
 * behind others, as the loop takes in one a turn. All that it has sent meanwhile lies unread then, and it may have gone.
 * Used on the loop alone.
 */
final class Backlog implements Listener {
    /** Whoever has waited for less has just come; so long a loop that was not held up takes for no turn, in microseconds. */
    static final long JUST_US = 20_000;

    private final LoopBeat beat;
    private final Listener where;
    /** Since when somebody may have been waiting all the time. */
    private long waitingFrom = Long.MAX_VALUE;
    private long acceptedAt = Long.MIN_VALUE / 2;
    private int accepted;
    private boolean open = true;
    private boolean looking;

    Backlog(LoopBeat beat, Listener where) {
        this.beat = beat;
        this.where = where;
    }

    @Override
    public void accept(boolean on) {
        open = on;
        if (on) {
            // The queue may be as long as ever: only a while without anybody, from here on, shows that it is not.
            acceptedAt = beat.now();
        } else {
            waitingFrom = Long.MIN_VALUE / 2;
        }
        where.accept(on);
    }

    @Override
    public void close() {
        where.close();
    }

    /** An accept has failed: whoever is accepted next may have waited. */
    void acceptFailed() {
        acceptedAt = beat.now();
        waitingFrom = Math.min(waitingFrom, acceptedAt);
    }

    /** A client has been accepted; returns whether it may have waited. */
    boolean accepted() {
        accepted++;
        long now = beat.now();
        long came = beat.arrivedAt();
        if (open && (waitingFrom == Long.MAX_VALUE || came - acceptedAt >= JUST_US)) {
            waitingFrom = came;
        }
        acceptedAt = now;
        if (now - waitingFrom >= JUST_US / 2) {
            look();
        }
        return now - waitingFrom >= JUST_US;
    }

    /** Where a look at the sockets brings nobody else, nobody else was waiting. */
    private void look() {
        if (looking) {
            return;
        }
        looking = true;
        int before = accepted;
        beat.afterLook(() -> {
            looking = false;
            if (open && accepted == before) {
                waitingFrom = Long.MAX_VALUE;
            }
        });
    }
}

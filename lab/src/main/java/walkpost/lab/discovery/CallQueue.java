package walkpost.lab.discovery;

import java.util.ArrayDeque;

/**
 * Calls in turn: one service that takes a time for each call and for each entry told, and fails those that have waited
 * too long. A pure model on a given clock. Used by one thread.
 *
 * @param <C> a call
 */
final class CallQueue<C> {
    private final long callUs;
    private final long entryUs;
    private final long timeoutUs;
    private final ArrayDeque<Waiting<C>> line = new ArrayDeque<>();
    /** Free for long: moments before a play's zero are negative. */
    private long freeUs = Long.MIN_VALUE / 2;

    private record Waiting<C>(C call, long sinceUs) { }

    CallQueue(long callUs, long entryUs, long timeoutUs) {
        this.callUs = callUs;
        this.entryUs = entryUs;
        this.timeoutUs = timeoutUs;
    }

    void add(long nowUs, C call) {
        line.add(new Waiting<>(call, nowUs));
    }

    /** Returns when somebody is to be looked after: now or later, or {@link Long#MAX_VALUE} where nobody waits. */
    long nextUs() {
        return line.isEmpty() ? Long.MAX_VALUE : Math.min(Math.max(freeUs, line.peek().sinceUs()), line.peek().sinceUs() + timeoutUs);
    }

    /** Returns the next whose time is up, or null. */
    C expired(long nowUs) {
        return !line.isEmpty() && nowUs - line.peek().sinceUs() >= timeoutUs ? line.poll().call() : null;
    }

    /** Returns the next in turn if the service is free, or null. */
    C next(long nowUs) {
        return !line.isEmpty() && freeUs <= nowUs ? line.poll().call() : null;
    }

    /** The one that was next keeps the service busy for what it is told; returns until when. */
    long serve(long nowUs, int entries) {
        freeUs = Math.max(freeUs, nowUs) + callUs + entries * entryUs;
        return freeUs;
    }

    /** Forgets a call whose caller has left. */
    void remove(C call) {
        line.removeIf(w -> w.call() == call);
    }
}

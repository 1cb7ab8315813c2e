package walkpost.proxy;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Queue;

/**
 * The requests that have come on a connection while an earlier one is being answered. Reading goes on all the while, as
 * a client's end stands behind them; so what is kept is bounded here.
 */
final class ReadAhead {
    /** Bytes on one connection: the longest body that is taken in whole, and some heads. Clients send one at a time. */
    static final int MOST = 128 * 1024;

    /** A request, and the bytes that it is counted as. */
    private record Waiting(Exchange exchange, int weight) { }

    private final Buffers buffers;
    private final Queue<Waiting> waiting = new ArrayDeque<>(0);
    private int held;

    ReadAhead(Buffers buffers) {
        this.buffers = buffers;
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Keeps a request, or returns false where there is no room for it. */
    boolean offer(Exchange next) {
        int weight = next.weight();
        if (buffers.full() || held + weight > MOST) {
            return false;
        }
        waiting.add(new Waiting(next, weight));
        held += weight;
        buffers.hold(weight);
        return true;
    }

    /** Returns the one that came first, which is no longer kept, or null. */
    Exchange poll() {
        Waiting next = waiting.poll();
        return next == null ? null : out(next);
    }

    /** Returns whether it was kept; now it is not. */
    boolean remove(Exchange exchange) {
        for (Iterator<Waiting> all = waiting.iterator(); all.hasNext();) {
            Waiting next = all.next();
            if (next.exchange == exchange) {
                all.remove();
                out(next);
                return true;
            }
        }
        return false;
    }

    /** Nobody waits for any of them. */
    void giveUp() {
        for (Exchange next = poll(); next != null; next = poll()) {
            next.clientGone();
        }
    }

    private Exchange out(Waiting next) {
        held -= next.weight;
        buffers.letGo(next.weight);
        return next.exchange;
    }
}

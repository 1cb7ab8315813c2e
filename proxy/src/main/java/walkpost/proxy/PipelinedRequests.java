package walkpost.proxy;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Queue;

/**
 * The queue of requests that have arrived on a connection while an earlier one is being answered (HTTP pipelining). The connection is read
 * from all the while, because the client's close is behind these requests, so the queue limits what it keeps. From the first request
 * without room on, only the number of requests is kept: each of them is refused once those before it are answered. Used on the event loop
 * only.
 */
final class PipelinedRequests {
    /** Limit for one connection while memory is scarce: the longest body that is not relayed, and some heads. */
    static final int MAX_BYTES_IF_SCARCE = 128 * 1024;
    /** Limit for one connection. */
    static final int MAX_BYTES = 1024 * 1024;

    /** A request, and the bytes that it counts for. */
    private record QueuedExchange(ClientExchange exchange, int sizeBytes) { }

    private final MemoryBudget memoryBudget;
    private final Queue<QueuedExchange> queue = new ArrayDeque<>(0);
    private int queuedBytes;
    /** The number of refused requests, all of them behind the queued ones. */
    private int refused;

    PipelinedRequests(MemoryBudget memoryBudget) {
        this.memoryBudget = memoryBudget;
    }

    /** Returns whether no response is owed to a request of this queue. */
    boolean isEmpty() {
        return queue.isEmpty() && refused == 0;
    }

    /** Queues a request; returns false if there is no room for it, or one before it is refused. */
    boolean offer(ClientExchange next) {
        int sizeBytes = next.sizeBytes();
        if (refused > 0 || !hasRoom(sizeBytes)) {
            return false;
        }
        queue.add(new QueuedExchange(next, sizeBytes));
        queuedBytes += sizeBytes;
        return true;
    }

    private boolean hasRoom(int sizeBytes) {
        int limitBytes = memoryBudget.isScarce() ? MAX_BYTES_IF_SCARCE : MAX_BYTES;
        return !memoryBudget.isExhausted() && queuedBytes + sizeBytes <= limitBytes;
    }

    /** Counts a request that is to be refused once all requests before it are answered. */
    void addRefused() {
        refused++;
    }

    /** Returns the number of refused requests that are not answered yet. */
    int refusedCount() {
        return refused;
    }

    /** Notes that the oldest refused request is answered. */
    void refusalSent() {
        refused--;
    }

    /** Removes and returns the oldest request, or returns null if the queue is empty. */
    ClientExchange poll() {
        QueuedExchange next = queue.poll();
        return next == null ? null : onRemoved(next);
    }

    /** Removes a request; returns whether it was queued. */
    boolean remove(ClientExchange exchange) {
        for (Iterator<QueuedExchange> iterator = queue.iterator(); iterator.hasNext();) {
            QueuedExchange next = iterator.next();
            if (next.exchange == exchange) {
                iterator.remove();
                onRemoved(next);
                return true;
            }
        }
        return false;
    }

    /** Abandons all queued requests, because no client waits for them any more. */
    void abandonAll() {
        for (ClientExchange next = poll(); next != null; next = poll()) {
            next.clientGone();
        }
        refused = 0;
    }

    /** Counts a removed request no longer; returns its exchange. */
    private ClientExchange onRemoved(QueuedExchange queued) {
        queuedBytes -= queued.sizeBytes;
        return queued.exchange;
    }
}

package walkpost.proxy;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.LongSupplier;

/**
 * The idle connections of the pool to one server. Hands out the connection that was used last, so that the others reach the idle timeout
 * and are closed, but prefers those that have been idle for {@link #SETTLING_US}. A connection that has unread input, or has been idle for
 * too long, is closed instead of being handed out. Used on the event loop only.
 */
final class IdleConnections {
    private record IdleConnection(Channel channel, long sinceUs) { }

    /** The time in which a second response that nobody has requested may still arrive on a connection. */
    private static final long SETTLING_US = 20_000;

    private final LongSupplier clock;
    private final ConnectionBudget connectionBudget;
    /** Ordered by the start of the idle time, the longest idle first. */
    private final Deque<IdleConnection> idle = new ArrayDeque<>();
    private final ByteBuffer probeBuffer = ByteBuffer.allocateDirect(1);

    /**
     * Creates an empty set.
     *
     * @param clock returns the time on the proxy's clock, in microseconds
     */
    IdleConnections(LongSupplier clock, ConnectionBudget connectionBudget) {
        this.clock = clock;
        this.connectionBudget = connectionBudget;
    }

    boolean isEmpty() {
        return idle.isEmpty();
    }

    void add(Channel channel) {
        idle.addLast(new IdleConnection(channel, clock.getAsLong()));
        connectionBudget.setServerConnectionIdle(channel, true);
    }

    /**
     * Takes out a usable connection, and closes the unusable ones that it comes across.
     *
     * @param maxIdleUs the longest idle time of a usable connection; it is checked here as well because the idle timers of a lagging event
     *                  loop are late
     * @return null if there is no usable connection
     */
    Channel take(long maxIdleUs) {
        while (!idle.isEmpty()) {
            IdleConnection next = removeNext();
            connectionBudget.setServerConnectionIdle(next.channel(), false);
            if (clock.getAsLong() - next.sinceUs() <= maxIdleUs && next.channel().isActive() && hasNoUnreadInput(next.channel())) {
                return next.channel();
            }
            next.channel().close();
        }
        return null;
    }

    /** Removes the connection used last among those idle for {@link #SETTLING_US}; if there are none, the one used last of all. */
    private IdleConnection removeNext() {
        long settledBeforeUs = clock.getAsLong() - SETTLING_US;
        for (Iterator<IdleConnection> latestFirst = idle.descendingIterator(); latestFirst.hasNext();) {
            IdleConnection candidate = latestFirst.next();
            if (candidate.sinceUs() <= settledBeforeUs) {
                latestFirst.remove();
                return candidate;
            }
        }
        return idle.removeLast();
    }

    /**
     * Returns whether the socket has no bytes, end of stream or reset to be read, which the event loop may not have processed yet. Bytes
     * that were sent before the request cannot be its response, and a server that has closed its side must not be sent a request.
     */
    private boolean hasNoUnreadInput(Channel channel) {
        if (!(channel.unsafe() instanceof AbstractNioChannel.NioUnsafe nio) || !(nio.ch() instanceof ReadableByteChannel in)) {
            return true;
        }
        try {
            return in.read(probeBuffer.clear()) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Removes a connection that has been closed. */
    void remove(Channel channel) {
        for (Iterator<IdleConnection> iterator = idle.iterator(); iterator.hasNext();) {
            if (iterator.next().channel() == channel) {
                iterator.remove();
                return;
            }
        }
    }

    /** Closes and removes all connections. */
    void close() {
        while (!idle.isEmpty()) {
            Channel channel = idle.removeLast().channel();
            connectionBudget.setServerConnectionIdle(channel, false);
            channel.close();
        }
    }
}

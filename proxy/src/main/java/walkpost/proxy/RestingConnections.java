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
 * The open connections to one backend that carry no attempt. The one used last is taken first, so that the others grow
 * old and are closed, but rather one that has rested a little; and none is taken on which anything has come, or which has rested for too long.
 */
final class RestingConnections {
    private record Resting(Channel channel, long sinceUs) { }

    /** Within this a second answer, which nobody has asked for, may still be on its way. */
    private static final long SETTLING_US = 20_000;

    private final LongSupplier clock;
    private final Sockets sockets;
    private final Deque<Resting> resting = new ArrayDeque<>();
    private final ByteBuffer looked = ByteBuffer.allocateDirect(1);

    /**
     * Makes one.
     *
     * @param clock in microseconds
     */
    RestingConnections(LongSupplier clock, Sockets sockets) {
        this.clock = clock;
        this.sockets = sockets;
    }

    boolean isEmpty() {
        return resting.isEmpty();
    }

    void add(Channel channel) {
        resting.addLast(new Resting(channel, clock.getAsLong()));
        sockets.backendIdle(channel, true);
    }

    /**
     * Takes one that can be written to, and closes those that it finds to be otherwise.
     *
     * @param mostUs how long it may have rested: a late loop is late with its timers too, so the clock is asked as well
     * @return null if there is none
     */
    Channel take(long mostUs) {
        while (!resting.isEmpty()) {
            Resting next = next();
            sockets.backendIdle(next.channel(), false);
            if (clock.getAsLong() - next.sinceUs() <= mostUs && next.channel().isActive() && isQuiet(next.channel())) {
                return next.channel();
            }
            next.channel().close();
        }
        return null;
    }

    /** Takes the last of those that a late answer would have come to by now; if there is none, the last of all. */
    private Resting next() {
        long settled = clock.getAsLong() - SETTLING_US;
        for (Iterator<Resting> each = resting.descendingIterator(); each.hasNext();) {
            Resting one = each.next();
            if (one.sinceUs() <= settled) {
                each.remove();
                return one;
            }
        }
        return resting.removeLast();
    }

    /**
     * Returns whether nothing waits to be read, be it bytes, the end or a reset: the loop may not have come to it yet.
     * What was sent before the request can't be the answer to it, and to a backend that has hung up nothing is sent.
     */
    private boolean isQuiet(Channel channel) {
        if (!(channel.unsafe() instanceof AbstractNioChannel.NioUnsafe nio) || !(nio.ch() instanceof ReadableByteChannel in)) {
            return true;
        }
        try {
            return in.read(looked.clear()) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** One that has been closed is here no longer. */
    void remove(Channel channel) {
        for (Iterator<Resting> each = resting.iterator(); each.hasNext();) {
            if (each.next().channel() == channel) {
                each.remove();
                return;
            }
        }
    }

    void close() {
        while (!resting.isEmpty()) {
            Channel channel = resting.removeLast().channel();
            sockets.backendIdle(channel, false);
            channel.close();
        }
    }
}

package walkpost.lab.net;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.io.Closeable;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** The lab's event loops, and how long the one held up longest could not do what was due. */
public final class Loops implements Closeable {
    private static final long TICK_MS = 5;

    private final EventLoopGroup group;
    private final List<EventLoop> loops = new ArrayList<>();
    private final AtomicLong heldNs = new AtomicLong();

    /** Starts so many. */
    public Loops(int count) {
        group = new MultiThreadIoEventLoopGroup(count, NioIoHandler.newFactory());
        for (int i = 0; i < count; i++) {
            loops.add(group.next());
        }
    }

    /** Returns the loop that a party of a number belongs to. */
    public EventLoop of(int number) {
        return loops.get(Math.floorMod(number, loops.size()));
    }

    /** Begins to watch for hold-ups; each loop ticks, and a tick that is late was held up. */
    public void watch() {
        heldNs.set(0);
        for (EventLoop loop : loops) {
            tick(loop, System.nanoTime());
        }
    }

    private void tick(EventLoop loop, long dueNs) {
        loop.schedule(() -> {
            long now = System.nanoTime();
            heldNs.accumulateAndGet(now - dueNs - TimeUnit.MILLISECONDS.toNanos(TICK_MS), Math::max);
            if (!loop.isShuttingDown()) {
                tick(loop, now);
            }
        }, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /** Returns the longest hold-up since {@link #watch}, in microseconds. */
    public long heldUs() {
        return heldNs.get() / 1_000;
    }

    /** Does something on a loop and waits for it. */
    public static <T> T on(EventLoop loop, Callable<T> task) {
        Future<T> done = loop.submit(task);
        return done.syncUninterruptibly().getNow();
    }

    /** Does something on a loop and waits for it. */
    public static void run(EventLoop loop, Runnable task) {
        loop.submit(task).syncUninterruptibly();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
    }
}

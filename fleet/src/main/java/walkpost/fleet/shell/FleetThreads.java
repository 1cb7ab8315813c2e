package walkpost.fleet.shell;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * The threads of one member, or of many in one process: event loops for the sockets, the ticks and the memberships, and a pool that
 * works the machines. To be closed after the members that use it.
 */
public final class FleetThreads implements AutoCloseable {
    private static final int END_S = 2;

    private final EventLoopGroup loops;
    private final ExecutorService pool;

    /**
     * Starts none yet: each begins with its first task.
     *
     * @param loops how many threads members are given to in turn; each holds a selector
     * @param workers how many threads work the machines of them all
     */
    public FleetThreads(int loops, int workers) {
        this.loops = new MultiThreadIoEventLoopGroup(loops, new DefaultThreadFactory("fleet-net", true), NioIoHandler.newFactory());
        pool = Executors.newFixedThreadPool(workers, new DefaultThreadFactory("fleet-shards", true));
    }

    /** Returns the loop of one more member. */
    EventLoop loop() {
        return loops.next();
    }

    /** Returns one more member's part in the pool. */
    Workers workers() {
        return new Workers(pool);
    }

    /** Ends all threads, in a few seconds at the most. */
    @Override
    public void close() {
        pool.shutdown();
        loops.shutdownGracefully(0, END_S, TimeUnit.SECONDS).awaitUninterruptibly(END_S, TimeUnit.SECONDS);
    }
}

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
import java.util.concurrent.locks.LockSupport;
import walkpost.lab.ledger.Ledger;
import walkpost.lab.ledger.Seen;

/** The event loops of a part of the lab, and when each of them was held up. */
public final class Loops implements Closeable {
    private final Seen.Part part;
    private final EventLoopGroup group;
    private final List<EventLoop> loops = new ArrayList<>();
    private final List<Heartbeat> hearts = new ArrayList<>();

    /** Starts so many for a part of the lab. */
    public Loops(Seen.Part part, int count) {
        this.part = part;
        group = new MultiThreadIoEventLoopGroup(count, NioIoHandler.newFactory());
        for (int i = 0; i < count; i++) {
            loops.add(group.next());
            hearts.add(new Heartbeat());
        }
    }

    /** Returns the loop that a party of a number belongs to. */
    public EventLoop of(int number) {
        return loops.get(Math.floorMod(number, loops.size()));
    }

    /** Begins to watch for hold-ups, in a play's time; each is noted in its ledger. */
    public void watch(PlayClock clock, Ledger ledger) {
        for (int i = 0; i < loops.size(); i++) {
            int number = i;
            hearts.get(i).begin(clock, (from, to) -> ledger.note(new Seen.Held(to, from, part, number, loops.size())));
            beat(loops.get(i), hearts.get(i));
        }
    }

    private static void beat(EventLoop loop, Heartbeat heart) {
        loop.execute(() -> {
            if (!loop.isShuttingDown()) {
                heart.beat();
                loop.schedule(() -> beat(loop, heart), Heartbeat.PERIOD_US, TimeUnit.MICROSECONDS);
            }
        });
    }

    /** Returns the heartbeat of the loop that a party of a number belongs to; to be asked on that loop. */
    public Heartbeat heart(int number) {
        return hearts.get(Math.floorMod(number, hearts.size()));
    }

    /** Returns the longest hold-up so far, in microseconds. */
    public long heldUs() {
        return hearts.stream().mapToLong(Heartbeat::longestUs).max().orElse(0);
    }

    /** Has all of them stand still for a time, on purpose. */
    public void hold(long us) {
        for (EventLoop loop : loops) {
            loop.execute(() -> {
                long until = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(us);
                for (long left = until - System.nanoTime(); left > 0; left = until - System.nanoTime()) {
                    LockSupport.parkNanos(left);
                }
            });
        }
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

package walkpost.proxy;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;

/** An event loop whose time stands still unless the test runs it, with a clock and a monitor of its lag. */
final class SimulatedLoop {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private long timeNs;
    final ProxyClock clock = new ProxyClock(() -> timeNs);
    final EventLoopLagMonitor lagMonitor = new EventLoopLagMonitor(clock, channel.eventLoop());

    SimulatedLoop() {
        channel.freezeTime();
        lagMonitor.start();
    }

    /** Lets time pass in which the loop runs nothing. */
    void standStill(long ms) {
        timeNs += TimeUnit.MILLISECONDS.toNanos(ms);
    }

    /** Runs one turn of 1 ms: first the input that the turn reads, then the tasks that are due. */
    void runTurn(Runnable input) {
        standStill(1);
        input.run();
        channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        channel.runPendingTasks();
    }
}

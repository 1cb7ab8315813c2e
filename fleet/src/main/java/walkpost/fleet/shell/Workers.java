package walkpost.fleet.shell;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/** One member's part in a pool that others may use as well: ends for this member alone. Any thread may call. */
final class Workers implements Executor {
    private final Executor pool;
    private int open;
    private boolean ended;

    Workers(Executor pool) {
        this.pool = pool;
    }

    /** @throws RejectedExecutionException once this has ended, or the pool */
    @Override
    public void execute(Runnable task) {
        synchronized (this) {
            if (ended) {
                throw new RejectedExecutionException("ended");
            }
            open++;
        }
        boolean taken = false;
        try {
            pool.execute(() -> {
                try {
                    task.run();
                } finally {
                    done();
                }
            });
            taken = true;
        } finally {
            if (!taken) {
                done();
            }
        }
    }

    private synchronized void done() {
        open--;
        notifyAll();
    }

    /** Takes nothing more, and waits for what it has taken, for so long at the most. */
    synchronized void end(long seconds) throws InterruptedException {
        ended = true;
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        for (long left = until - System.nanoTime(); open > 0 && left > 0; left = until - System.nanoTime()) {
            TimeUnit.NANOSECONDS.timedWait(this, left);
        }
    }
}

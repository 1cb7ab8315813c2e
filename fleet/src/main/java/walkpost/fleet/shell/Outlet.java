package walkpost.fleet.shell;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;

/** What one listener has yet to hear, in order: given to its executor, never two at a time. Any thread may put. */
final class Outlet {
    /** Told in one go; then others have a turn on the executor, which may be a serving loop. */
    private static final int GROUP = 64;

    private final Executor executor;
    private final FleetListener listener;
    private final Queue<Consumer<FleetListener>> waiting = new ArrayDeque<>();
    private boolean running;
    private boolean over;

    Outlet(Executor executor, FleetListener listener) {
        this.executor = executor;
        this.listener = listener;
    }

    void put(Consumer<FleetListener> event) {
        synchronized (this) {
            if (over) {
                return;
            }
            waiting.add(event);
            if (running) {
                return;
            }
            running = true;
        }
        start();
    }

    private void start() {
        try {
            executor.execute(this::drain);
        } catch (RejectedExecutionException e) {
            // Its owner has ended: nobody is there to hear.
            synchronized (this) {
                over = true;
                waiting.clear();
            }
        }
    }

    private void drain() {
        for (int i = 0; i < GROUP; i++) {
            Consumer<FleetListener> event;
            synchronized (this) {
                event = waiting.poll();
                if (event == null) {
                    running = false;
                    return;
                }
            }
            try {
                event.accept(listener);
            } catch (RuntimeException e) {
                Log.failure("listener_failed", e);
            }
        }
        start();
    }
}

package walkpost.fleet.shell;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongFunction;
import walkpost.fleet.StateMachine;

/**
 * Works one machine: events wait here, a thread of the pool at a time gives a group of them to the machine, under its lock, and carries
 * out what comes of it, in order, once the lock is given back. For machines that need nothing on disk; those that do have a
 * {@link ShardLane}.
 */
final class Turns<E, A> {
    /** Events that are taken under the lock in one go. */
    private static final int GROUP = 64;
    /** Messages that wait; the protocol bears the loss of more. */
    static final int MOST_MESSAGES = 2_000;
    /** Bytes of messages that wait. */
    static final int MOST_BYTES = 4 << 20;

    /** Carries out what a machine wants; called by a thread of the pool, with no lock held, in order. */
    interface Carrier<A> {
        /** @param waitedUs how long ago the event was handled that this came from */
        void carryOut(A action, long waitedUs);

        /** All that came of a group is carried out. */
        void done();
    }

    /** An event, made once it is known how long it has waited, and the bytes that it came in where it is a message. */
    private record Item<E>(long atUs, LongFunction<E> event, int bytes) { }

    /** An action, and when the event that it came from was handled. */
    private record Due<A>(long atUs, A action) { }

    private final String name;
    private final StateMachine<E, A> machine;
    private final E tick;
    private final Clock clock;
    private final Counters counters;
    private final Executor pool;
    private final Carrier<A> carrier;
    /** Guards the machine. */
    private final Lock lock = new ReentrantLock();

    /** Guarded by itself, as are the next five. */
    private final Queue<Item<E>> inbox = new ArrayDeque<>();
    private int messages;
    private int bytes;
    private boolean tickDue;
    private boolean running;
    private boolean over;

    /**
     * @param name of the machine, for the log
     * @param tick what tells it that time has passed
     */
    Turns(String name, StateMachine<E, A> machine, E tick, Clock clock, Counters counters, Executor pool, Carrier<A> carrier) {
        this.name = name;
        this.machine = machine;
        this.tick = tick;
        this.clock = clock;
        this.counters = counters;
        this.pool = pool;
        this.carrier = carrier;
    }

    /** Takes an event of this member's own. */
    void put(E event) {
        put(new Item<>(clock.nowUs(), waitedUs -> event, 0));
    }

    /** Takes a message of so many bytes, unless too much waits already. */
    void put(LongFunction<E> message, int length) {
        put(new Item<>(clock.nowUs(), message, length));
    }

    /** Takes a tick; one that waits is enough, as the machine reads the clock. */
    void tick() {
        synchronized (inbox) {
            tickDue = true;
        }
        start();
    }

    private void put(Item<E> item) {
        synchronized (inbox) {
            if (item.bytes > 0) {
                if (messages >= MOST_MESSAGES || bytes + item.bytes > MOST_BYTES) {
                    counters.dropped(name + "_full");
                    return;
                }
                messages++;
                bytes += item.bytes;
            }
            inbox.add(item);
        }
        start();
    }

    private void start() {
        synchronized (inbox) {
            if (running || over) {
                return;
            }
            running = true;
        }
        again();
    }

    private void again() {
        try {
            pool.execute(this::turn);
        } catch (RejectedExecutionException e) {
            synchronized (inbox) {
                over = true;
                inbox.clear();
            }
        }
    }

    private void turn() {
        List<Item<E>> items = taken();
        if (items.isEmpty()) {
            return;
        }
        for (Due<A> due : handled(items)) {
            try {
                carrier.carryOut(due.action, clock.nowUs() - due.atUs);
            } catch (RuntimeException e) {
                failed(e, due.action);
            }
        }
        carrier.done();
        again();
    }

    private List<Item<E>> taken() {
        var items = new ArrayList<Item<E>>();
        synchronized (inbox) {
            while (items.size() < GROUP && !inbox.isEmpty()) {
                Item<E> item = inbox.poll();
                items.add(item);
                if (item.bytes > 0) {
                    messages--;
                    bytes -= item.bytes;
                }
            }
            if (tickDue) {
                items.add(new Item<>(clock.nowUs(), waitedUs -> tick, 0));
                tickDue = false;
            }
            running = !items.isEmpty();
        }
        return items;
    }

    private List<Due<A>> handled(List<Item<E>> items) {
        var due = new ArrayList<Due<A>>();
        lock.lock();
        try {
            for (Item<E> item : items) {
                long nowUs = clock.nowUs();
                E event = item.event.apply(nowUs - item.atUs);
                try {
                    machine.handle(nowUs, event, action -> due.add(new Due<>(nowUs, action)));
                } catch (RuntimeException e) {
                    failed(e, event);
                }
            }
        } finally {
            lock.unlock();
        }
        return due;
    }

    private void failed(RuntimeException cause, Object what) {
        counters.add("failures", 1);
        Log.failure("machine_failed", cause, "machine", name, "event", what.getClass().getSimpleName());
    }

    /** Returns what the machine's reader gives at this time, under its lock. */
    <T> T read(LongFunction<T> reader) {
        lock.lock();
        try {
            return reader.apply(clock.nowUs());
        } finally {
            lock.unlock();
        }
    }
}

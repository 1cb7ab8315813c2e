package walkpost.fleet;

import java.util.function.Consumer;

/**
 * A protocol as a pure state machine: events in, actions out. It has no clock, no thread, no I/O, and draws random numbers only
 * from a seed, so that equal events at equal times give equal actions, in a simulation as in a process.
 *
 * <p>Actions are to be carried out in the order given. One owner calls it at a time.
 *
 * @param <E> what happens to it
 * @param <A> what is to be done
 */
public interface Machine<E, A> {
    /**
     * Takes one event.
     *
     * @param nowUs the owner's monotonic clock in microseconds, never before that of the event before
     */
    void handle(long nowUs, E event, Consumer<A> actions);
}

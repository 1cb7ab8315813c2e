package walkpost.fleet;

import java.util.function.Consumer;

/**
 * A protocol as a pure state machine that turns events into actions. It has no clock, no thread and no I/O, and takes random numbers
 * only from a seeded generator, so that equal events at equal times give equal actions, in a simulation as in a process.
 *
 * <p>The owner carries out the actions in the order given, and makes one call at a time.
 *
 * @param <E> the type of the events
 * @param <A> the type of the actions
 */
public interface StateMachine<E, A> {
    /**
     * Handles one event and passes the resulting actions to {@code actions}.
     *
     * @param nowUs the owner's monotonic clock in microseconds; never lower than in the call before
     */
    void handle(long nowUs, E event, Consumer<A> actions);
}

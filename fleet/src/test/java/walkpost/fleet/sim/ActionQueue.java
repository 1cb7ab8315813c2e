package walkpost.fleet.sim;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The actions of one state machine of a process that are still to be carried out, in order. They wait while the process is suspended or a
 * write to disk is under way, and are lost when the process ends.
 */
final class ActionQueue<A> {
    /** Carries out an action, given the time when it was created. */
    interface Carrier<A> {
        void carryOut(A action, long createdUs);
    }

    private record Pending<A>(long createdUs, A action) { }

    private final Node.Process owner;
    private final SimClock time;
    private final Carrier<A> carrier;
    private final Deque<Pending<A>> pending = new ArrayDeque<>();
    private boolean paused;

    ActionQueue(Node.Process owner, SimClock time, Carrier<A> carrier) {
        this.owner = owner;
        this.time = time;
        this.carrier = carrier;
    }

    void add(A action) {
        pending.add(new Pending<>(time.nowUs(), action));
    }

    /** Stops carrying out actions until {@link #resume}. */
    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        drain();
    }

    /** Carries out all actions that can be carried out now. */
    void drain() {
        while (owner.isRunning() && !paused && !pending.isEmpty()) {
            if (!owner.triggerTrap()) {
                Pending<A> next = pending.remove();
                carrier.carryOut(next.action, next.createdUs);
            }
        }
    }
}

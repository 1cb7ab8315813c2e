package walkpost.fleet.sim;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Actions of one machine of a process that are still to be carried out, in order. They wait while the process is stopped, and while the
 * disk holds them up; they end with the process.
 */
final class Outgoing<A> {
    /** Carries out an action that was made at that time. */
    interface Carrier<A> {
        void carry(A action, long madeUs);
    }

    private record Due<A>(long madeUs, A action) { }

    private final Node.Process owner;
    private final Timeline time;
    private final Carrier<A> carrier;
    private final Deque<Due<A>> due = new ArrayDeque<>();
    private boolean held;

    Outgoing(Node.Process owner, Timeline time, Carrier<A> carrier) {
        this.owner = owner;
        this.time = time;
        this.carrier = carrier;
    }

    void add(A action) {
        due.add(new Due<>(time.nowUs(), action));
    }

    /** Nothing more is carried out until {@link #release}. */
    void hold() {
        held = true;
    }

    void release() {
        held = false;
        drain();
    }

    void drain() {
        while (owner.runs() && !held && !due.isEmpty()) {
            if (!owner.sprang()) {
                Due<A> next = due.remove();
                carrier.carry(next.action, next.madeUs);
            }
        }
    }
}

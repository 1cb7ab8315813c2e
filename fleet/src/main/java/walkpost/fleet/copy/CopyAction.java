package walkpost.fleet.copy;

import java.util.List;
import walkpost.fleet.FleetException;

/** Something the owner of a {@link Shard} is to do, in the order given. */
public sealed interface CopyAction {
    /**
     * Send a message to the same shard of a member; it may get lost. An owner that comes to it more than a second after the event
     * that it came from, as it stood still, drops it: the ages of facts in it would be too low.
     */
    record Send(String to, CopyMessage message) implements CopyAction { }

    /**
     * Put these slots on disk before anything that comes after this action; passed over without a directory. One that is
     * {@link Slot#none() empty} takes its key off the disk. Promises need no disk: a member makes none until one that it may have
     * made in an earlier life has run out.
     */
    record Persist(List<Slot> slots) implements CopyAction {
        public Persist {
            slots = List.copyOf(slots);
        }
    }

    /** An order is acknowledged: a majority of the configured members holds it, decided. */
    record Acknowledged(String id, Order order) implements CopyAction { }

    /** An order has failed, with the reason for its caller. */
    record Refused(String id, FleetException why) implements CopyAction { }

    /** What stands for a key is this from now on, at this level member. */
    record Stands(Order.Key key, Acting acting) implements CopyAction { }

    /** Another member's fact is new here; one withdrawn has a null payload. */
    record Heard(Fact fact) implements CopyAction { }

    /** This shard has caught up with a majority, or is not sure of it any more. */
    record Level(boolean level) implements CopyAction { }

    /** A fact has grown older than its topic's bound: what depends on it falls back. To be told in the log. */
    record Stale(Fact.Key key, long ageUs) implements CopyAction { }
}

package walkpost.fleet.copy;

import java.util.List;
import walkpost.fleet.FleetException;

/** An action that the owner of a {@link Shard} carries out. The owner carries actions out in the order given. */
public sealed interface ShardAction {
    /**
     * Sends a message to the same shard of another member; the message may be lost. An owner that was suspended and gets to this action
     * more than a second after the event that caused it drops the message, because the ages of the entries in it would be too low.
     */
    record Send(String to, ShardMessage message) implements ShardAction { }

    /**
     * Writes these slots to disk before the owner carries out any later action; without a directory the owner skips it. A slot
     * {@link Slot#hasNoHistory() without history} removes its key from the disk. Promises are not persisted: a restarted member makes none
     * until any promise of its previous life has expired.
     */
    record Persist(List<Slot> slots) implements ShardAction {
        public Persist {
            slots = List.copyOf(slots);
        }
    }

    /** Reports that an order is decided and that a majority of the configured members holds it. */
    record Acknowledged(String id, Order order) implements ShardAction { }

    /** Reports that an order has failed, with the reason for its caller. */
    record Refused(String id, FleetException why) implements ShardAction { }

    /** Reports a change of the order in effect for a key. Emitted only while this member is caught up. */
    record EffectiveOrderChanged(Order.Key key, EffectiveOrder order) implements ShardAction { }

    /** Reports a new entry of another member; its payload is null if the entry was withdrawn. */
    record EntryReceived(Entry entry) implements ShardAction { }

    /** Reports that this shard has caught up with a majority, or can no longer be sure of it. */
    record CaughtUpChanged(boolean caughtUp) implements ShardAction { }

    /** Reports that an entry is older than its topic's bound, so that its users fall back. The owner logs it. */
    record EntryStale(Entry.Key key, long ageUs) implements ShardAction { }
}

package walkpost.fleet.copy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Collects the actions that one event leads to. Changed slots are persisted before all other actions, so that no message or answer refers
 * to state that is not on disk.
 */
final class Outbox {
    private final List<ShardAction> actions = new ArrayList<>();

    void send(String to, ShardMessage message) {
        actions.add(new ShardAction.Send(to, message));
    }

    void add(ShardAction action) {
        actions.add(action);
    }

    /** Passes the changed slots and then all collected actions, in order, to the owner, and empties the outbox. */
    void flush(List<Slot> unsaved, Consumer<ShardAction> owner) {
        if (!unsaved.isEmpty()) {
            owner.accept(new ShardAction.Persist(unsaved));
        }
        actions.forEach(owner);
        actions.clear();
    }
}

package walkpost.fleet.copy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** What one event leads to. Slots go on disk before all else, so that no message or answer speaks of what is not there. */
final class Outbox {
    private final List<CopyAction> actions = new ArrayList<>();

    void send(String to, CopyMessage message) {
        actions.add(new CopyAction.Send(to, message));
    }

    void tell(CopyAction action) {
        actions.add(action);
    }

    /** Gives everything out, in order; the box is empty then. */
    void release(List<Slot> unsaved, Consumer<CopyAction> owner) {
        if (!unsaved.isEmpty()) {
            owner.accept(new CopyAction.Persist(unsaved));
        }
        actions.forEach(owner);
        actions.clear();
    }
}

package walkpost.fleet.sim;

import java.util.List;
import walkpost.fleet.copy.ShardAction;
import walkpost.fleet.copy.ShardEvent;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.member.MemberEvent;
import walkpost.fleet.observe.FeedAction;
import walkpost.fleet.observe.ObserverAction;
import walkpost.fleet.observe.ObserverEvent;

/**
 * Hooks between the state machines and their environment, through which a test plants a fault to check that the oracle finds it. The
 * methods here change nothing.
 */
class FaultInjection {
    /** Returns the events that reach a shard in place of an event. */
    List<ShardEvent> replaceEvent(Node node, int shard, ShardEvent event) {
        return List.of(event);
    }

    /** Returns the event that reaches a membership in place of an event. */
    MemberEvent replaceEvent(Node node, MemberEvent event) {
        return event;
    }

    /** Returns the actions that a shard's owner carries out in place of an action. */
    List<ShardAction> replaceAction(Node node, int shard, ShardAction action) {
        return List.of(action);
    }

    /** Returns the events that reach an observer in place of an event. */
    List<ObserverEvent> replaceEvent(Node node, ObserverEvent event) {
        return List.of(event);
    }

    /** Returns the actions that an observer's owner carries out in place of an action. */
    List<ObserverAction> replaceAction(Node node, ObserverAction action) {
        return List.of(action);
    }

    /** Returns the actions that a voter carries out for its observers in place of an action. */
    List<FeedAction> replaceAction(Node node, FeedAction action) {
        return List.of(action);
    }

    /** Returns the slots that a directory restores at a start. */
    List<Slot> restored(List<Slot> slots) {
        return slots;
    }

    /** Returns the clock that a node's state machines see. */
    long clockUs(Node node, long clockUs) {
        return clockUs;
    }
}

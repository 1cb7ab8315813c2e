package walkpost.fleet.sim;

import java.util.List;
import walkpost.fleet.copy.CopyAction;
import walkpost.fleet.copy.CopyEvent;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.member.MemberEvent;
import walkpost.fleet.observe.FeedAction;
import walkpost.fleet.observe.ObserverAction;
import walkpost.fleet.observe.ObserverEvent;

/**
 * A fault planted between the machines and the world, to see whether the oracle finds it. By itself it changes nothing.
 */
class Plant {
    /** Returns what reaches a shard in place of an event. */
    List<CopyEvent> reaching(Node node, int shard, CopyEvent event) {
        return List.of(event);
    }

    /** Returns what reaches a membership in place of an event. */
    MemberEvent reaching(Node node, MemberEvent event) {
        return event;
    }

    /** Returns what a shard's owner carries out in place of an action. */
    List<CopyAction> leaving(Node node, int shard, CopyAction action) {
        return List.of(action);
    }

    /** Returns what reaches an observer in place of an event. */
    List<ObserverEvent> reaching(Node node, ObserverEvent event) {
        return List.of(event);
    }

    /** Returns what an observer's owner carries out in place of an action. */
    List<ObserverAction> leaving(Node node, ObserverAction action) {
        return List.of(action);
    }

    /** Returns what a voter carries out for its observers in place of an action. */
    List<FeedAction> leaving(Node node, FeedAction action) {
        return List.of(action);
    }

    /** Returns what a directory gives back at a start. */
    List<Slot> restored(List<Slot> slots) {
        return slots;
    }

    /** Returns the clock as a node's machines see it. */
    long clockUs(Node node, long clockUs) {
        return clockUs;
    }
}

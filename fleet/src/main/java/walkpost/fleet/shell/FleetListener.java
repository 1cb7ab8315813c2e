package walkpost.fleet.shell;

import java.util.Map;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.Order;
import walkpost.fleet.member.Member;

/**
 * Who uses what the fleet knows. Called by one thread at a time, in order, on the executor that was given with it: the serving loop's
 * part of a process hears all of it there and takes no lock.
 */
public interface FleetListener {
    /** What is held of a member has changed. */
    void member(Member member);

    /** Another member's entry is new; withdrawn where its payload is null. */
    void entryReceived(Entry entry);

    /** An entry has grown older than its topic's bound: whatever rests on it is to fall back. */
    void stale(Entry.Key key);

    /** What is to be acted on for a key. Comes only while this member is level; to an observer, once it was level for the first time. */
    void effectiveOrderChanged(Order.Key key, EffectiveOrder acting);

    /** This member has caught up, or is not sure of it any more: then what stood last goes on. */
    void caughtUpChanged(boolean level);

    /** How many observers live, by region, has changed; empty where that is not known. Comes to observers only. */
    default void lives(Map<String, Integer> byRegion) { }
}

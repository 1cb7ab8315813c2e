package walkpost.fleet.shell;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.ShardEvent;

/**
 * What a member does about orders and entries: one that votes does other things than one that observes. Chosen when a fleet is opened.
 * Any thread may call, unless it says otherwise; none is held up.
 */
interface Part {
    /** Begins; on the loop's first turn at the latest. */
    void start();

    /** Time has passed; on the loop, 20 times a second. */
    void tick();

    /** Takes who lives; on the loop. */
    void peers(ShardEvent.LivePeers now);

    /** Takes a message that is for no membership, of so many bytes, from a member in its present life; on the loop. */
    void received(Envelope envelope, int length);

    /** Tells a listener of all from now on, what is known already first; on the loop. */
    void listen(Outlet outlet);

    /** Writes an entry of this member's own; a null payload withdraws it. */
    void writeEntry(String topic, String subject, String payload);

    /** Gives an order that is complete; see {@link FleetHandle#order}. */
    CompletionStage<Order> order(Order.Key key, String id, String replaces, String payload);

    /** Returns whether this member's copy is as good as any. */
    boolean isCaughtUp();

    /** Returns what stands, by key. */
    Map<Order.Key, EffectiveOrder> orders();

    /** See {@link FleetHandle#entries}. */
    CompletionStage<TopicEntries> entries(String topic);

    /** See {@link FleetHandle#held}. */
    CompletionStage<Coverage> held(Order.Key key, String id);

    /** See {@link FleetHandle#controlAgeUs}. */
    long controlAgeUs();

    /** See {@link FleetHandle#lives}. */
    Map<String, Integer> lives();

    /** See {@link FleetHandle#feeds}. */
    List<String> feeds();

    /** Returns counts by name. */
    Map<String, Long> figures();

    /** Takes nothing more, and waits for what is under way, a few seconds at the most; orders are answered by {@link #end}. */
    void close();

    /** Answers whoever still waits for an order or a question: nobody here will know any more. */
    void end();
}

package walkpost.fleet.shell;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.Order;
import walkpost.fleet.member.Member;

/** What a process may do with the fleet once it is a member. Any thread may call; none is held up. */
public interface FleetHandle extends AutoCloseable {
    /** The age of a copy that never was the fleet's: huge, and small enough for sums. */
    long NEVER_US = Long.MAX_VALUE / 4;

    /** Has everything told to a listener from now on, what is known already first, on its executor. */
    void listen(Executor executor, FleetListener listener);

    /** Writes an entry of this member's own; a null payload withdraws it. */
    void writeEntry(String topic, String subject, String payload);

    /**
     * Gives an order. The stage ends with the acknowledged order or with a {@code FleetException}.
     *
     * @param id the caller's own, unique; sent again it is carried out once
     * @param replaces the id of what it is to replace; empty for the first on its key; null for whatever stands, rivals included
     * @param payload JSON on one line; null takes back what stands
     */
    CompletionStage<Order> order(Order.Key key, String id, String replaces, String payload);

    /** Returns the name of this member. */
    String name();

    /** Returns what is known of all members, this one included. */
    List<Member> members();

    /** Returns whether this member has caught up, in all shards; an observer, whether it equals a voter that has. */
    boolean isCaughtUp();

    /** Returns what stands, by key, as this copy has it. */
    Map<Order.Key, EffectiveOrder> orders();

    /**
     * Finds the entries of a topic. Where the fleet has voters, all of them are asked at once, and the stage ends a second later at the
     * latest; elsewhere this copy has them all.
     */
    CompletionStage<TopicEntries> entries(String topic);

    /**
     * Finds by how many an order is held, it or what has come after it, within a second. Fails with {@code BadCall} where the fleet has
     * no voters: nobody counts there.
     */
    CompletionStage<Coverage> held(Order.Key key, String id);

    /**
     * Returns how long ago this member's copy was last known to be the fleet's, in microseconds: next to nothing while it is level, and
     * {@link #NEVER_US} where it never was.
     */
    long controlAgeUs();

    /** Returns how many observers live, by region, as the voters say; empty where that is not known, or all members vote. */
    Map<String, Integer> lives();

    /** Returns the names of those that vote where not all members do; none elsewhere. */
    List<String> voters();

    /** Returns the voters that feed this observer, the one that counts it first; none at a voter. */
    List<String> feeds();

    /** Returns the bound on a topic's entries, in microseconds. */
    long boundUs(String topic);

    /** Returns counters by name: messages in and out, bytes, dropped by cause, and so on. */
    Map<String, Long> counters();

    /** Says good-bye to the others and releases everything. */
    @Override
    void close();
}

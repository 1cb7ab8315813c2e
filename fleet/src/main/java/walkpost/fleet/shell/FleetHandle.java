package walkpost.fleet.shell;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import walkpost.fleet.copy.Acting;
import walkpost.fleet.copy.Fact;
import walkpost.fleet.copy.Order;
import walkpost.fleet.member.Member;

/** What a process may do with the fleet once it is a member. Any thread may call; none is held up. */
public interface FleetHandle extends AutoCloseable {
    /** Has everything told to a listener from now on, what is known already first, on its executor. */
    void listen(Executor executor, FleetListener listener);

    /** Writes a fact of this member's own; a null payload withdraws it. */
    void tell(String topic, String subject, String payload);

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

    /** Returns whether this member has caught up, in all shards. */
    boolean level();

    /** Returns what stands, by key, as this copy has it. */
    Map<Order.Key, Acting> orders();

    /** Returns the facts of a topic, their ages counted to now; those older than their bound are among them. */
    List<Fact> facts(String topic);

    /** Returns the bound on a topic's facts, in microseconds. */
    long boundUs(String topic);

    /** Returns counters by name: messages in and out, bytes, dropped by cause, and so on. */
    Map<String, Long> counters();

    /** Says good-bye to the others and releases everything. */
    @Override
    void close();
}

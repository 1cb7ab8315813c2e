package walkpost.fleet.observe;

import java.util.Collection;
import java.util.List;
import java.util.function.BiConsumer;
import walkpost.fleet.copy.Fact;
import walkpost.fleet.copy.Order;

/**
 * What operators ask of all voters at once, fetched only then: owns the questions that are open. Any member may ask, voters among them
 * (whose own part the owner hands to {@link Feed} like a message from itself).
 */
public final class Inquiries {
    /** What the voters have answered, those that did not in time named. */
    public record FactsFound(List<Fact> facts, List<String> silent) { }

    /** By how many an order is held, of how many; names of some that lack it; the voters that did not answer. */
    public record Coverage(int held, int of, List<String> lacking, List<String> silent) { }

    /** Asks which facts on a topic were reported; {@code send} gets whom to ask and the message. Returns the question's number. */
    public long askFacts(long nowUs, String topic, Collection<String> voters, BiConsumer<String, ObserveMessage> send) {
        return 0;
    }

    /** Asks who holds an order. Returns the question's number. */
    public long askHeld(long nowUs, Order.Key key, String id, Collection<String> voters, BiConsumer<String, ObserveMessage> send) {
        return 0;
    }

    /** Takes an answer from a voter; anything else is passed over. */
    public void received(long nowUs, String from, ObserveMessage message) {
    }

    /** Hands over what is answered by all, or has waited for a second. */
    public void done(long nowUs, BiConsumer<Long, FactsFound> facts, BiConsumer<Long, Coverage> held) {
    }
}

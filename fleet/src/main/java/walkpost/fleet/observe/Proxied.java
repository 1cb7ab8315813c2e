package walkpost.fleet.observe;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import walkpost.fleet.FleetException;
import walkpost.fleet.copy.Order;

/** Observers' orders that this voter has given to its shards: owns who waits for the answer to each. */
final class Proxied {
    /** So many may be under way at a time: beyond that a voter refuses at once, and the observer tries another. */
    private static final int MOST = 256;
    /** An order takes 2 s at most, in a shard. */
    private static final long OVER_US = 5_000_000;

    private static final class Waiting {
        private final Set<String> observers = new LinkedHashSet<>();
        private final long sinceUs;

        private Waiting(long sinceUs) {
            this.sinceUs = sinceUs;
        }
    }

    private final Counts counts;
    private final Map<String, Waiting> waiting = new LinkedHashMap<>();

    Proxied(Counts counts) {
        this.counts = counts;
    }

    /** Takes a call. Returns true where it is to be proposed: neither on its way already, nor one too many. */
    boolean take(long nowUs, String from, ObserveMessage.Call call, Send send) {
        Waiting known = waiting.get(call.id());
        if (known != null) {
            known.observers.add(from);
            return false;
        }
        if (waiting.size() >= MOST) {
            counts.count("calls.refused_many");
            send.to(from, answer(call.id(), new FleetException.Full("orders under way at this voter", MOST), true));
            return false;
        }
        var first = new Waiting(nowUs);
        first.observers.add(from);
        waiting.put(call.id(), first);
        counts.count("calls");
        return true;
    }

    void acknowledged(String id, Order order, Send send) {
        end(id, new ObserveMessage.Answer(id, order, null, null, null, false), send);
    }

    void refused(String id, FleetException why, Send send) {
        // Of these another voter, or this one a moment later, may well make something; what the order is about has not changed.
        boolean again = why instanceof FleetException.NotLevel || why instanceof FleetException.NoMajority
                || why instanceof FleetException.Uncertain || why instanceof FleetException.BadDirectory
                || why instanceof FleetException.Busy busy && busy.itself();
        end(id, answer(id, why, again), send);
    }

    void tick(long nowUs) {
        waiting.values().removeIf(each -> nowUs - each.sinceUs > OVER_US);
    }

    private void end(String id, ObserveMessage.Answer answer, Send send) {
        Waiting over = waiting.remove(id);
        if (over != null) {
            over.observers.forEach(to -> send.to(to, answer));
        }
    }

    private static ObserveMessage.Answer answer(String id, FleetException why, boolean again) {
        return new ObserveMessage.Answer(id, null, why.getClass().getSimpleName(), why.what(), why.remedy(), again);
    }
}

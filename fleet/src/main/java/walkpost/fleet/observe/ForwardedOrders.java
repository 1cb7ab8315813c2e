package walkpost.fleet.observe;

import java.util.LinkedHashMap;
import java.util.Map;
import walkpost.fleet.FleetException;
import walkpost.fleet.copy.Order;

/**
 * Observers' orders that this voter has given to its shards: owns who waits for the answer to each, and for a while what the answer was,
 * so that a copy of a call that comes late, or comes again, is answered the same and proposed no more: its caller may have been told.
 */
final class ForwardedOrders {
    /** So many may be under way at a time: beyond that a voter refuses at once, and the observer tries another. */
    private static final int MOST = 256;
    /** So many answers are kept. */
    private static final int MOST_ANSWERED = 4 * MOST;
    /** An order takes 2 s at most, in a shard. */
    private static final long OVER_US = 5_000_000;
    /** By far longer than a message is on its way, and than an observer tries. */
    private static final long ANSWERED_US = 10_000_000;

    private static final String UNCERTAIN = FleetException.Uncertain.class.getSimpleName();

    private static final class Waiting {
        /** The highest attempt of each observer. */
        private final Map<String, Long> observers = new LinkedHashMap<>();
        private final long sinceUs;

        private Waiting(long sinceUs) {
            this.sinceUs = sinceUs;
        }
    }

    private record Asked(String observer, String id) { }

    private record Answered(ObserveMessage.Answer answer, long atUs) { }

    private final ObserveCounters counters;
    private final Map<String, Waiting> waiting = new LinkedHashMap<>();
    private final Map<Asked, Answered> answered = new LinkedHashMap<>();
    private long bornUs = Long.MIN_VALUE;

    ForwardedOrders(ObserveCounters counters) {
        this.counters = counters;
    }

    /** Something has happened at this time; the first time is this life's beginning. */
    void clock(long nowUs) {
        bornUs = bornUs == Long.MIN_VALUE ? nowUs : bornUs;
    }

    /** Takes a call. Returns true where it is to be proposed: neither answered nor on its way already, nor one too many. */
    boolean take(long nowUs, String from, ObserveMessage.Call call, MessageSender sender) {
        Answered before = answered.get(new Asked(from, call.id()));
        if (before != null && (before.answer.order() != null || call.attempt() <= before.answer.attempt())) {
            sender.send(from, at(nowUs, before.answer, before.answer.attempt()));
            return false;
        }
        Waiting known = waiting.get(call.id());
        if (known != null) {
            known.observers.merge(from, call.attempt(), Math::max);
            return false;
        }
        if (waiting.size() >= MOST) {
            counters.increment("calls.refused_many");
            ObserveMessage.Answer full = answer(call.id(), new FleetException.Full("orders under way at this voter", MOST), true);
            answer(nowUs, from, full, call.attempt(), sender);
            return false;
        }
        var first = new Waiting(nowUs);
        first.observers.put(from, call.attempt());
        waiting.put(call.id(), first);
        counters.increment("calls");
        return true;
    }

    void acknowledged(long nowUs, String id, Order order, MessageSender sender) {
        end(nowUs, id, new ObserveMessage.Answer(id, 0, 0, order, null, null, null, false), sender);
    }

    void refused(long nowUs, String id, FleetException why, MessageSender sender) {
        // Of these another voter, or this one a moment later, may well make something; what the order is about has not changed.
        boolean again = why instanceof FleetException.NotLevel || why instanceof FleetException.NoMajority
                || why instanceof FleetException.Uncertain || why instanceof FleetException.BadDirectory
                || why instanceof FleetException.Busy busy && busy.isSameOrder();
        end(nowUs, id, answer(id, why, again), sender);
    }

    void tick(long nowUs) {
        waiting.values().removeIf(each -> nowUs - each.sinceUs > OVER_US);
        answered.values().removeIf(each -> nowUs - each.atUs > ANSWERED_US);
    }

    private void end(long nowUs, String id, ObserveMessage.Answer answer, MessageSender sender) {
        Waiting over = waiting.remove(id);
        if (over != null) {
            over.observers.forEach((to, attempt) -> answer(nowUs, to, answer, attempt, sender));
        }
    }

    private void answer(long nowUs, String to, ObserveMessage.Answer answer, long attempt, MessageSender sender) {
        var asked = new Asked(to, answer.id());
        Answered before = answered.remove(asked);
        ObserveMessage.Answer told = answer;
        if (answer.order() == null && before != null && UNCERTAIN.equals(before.answer.type())) {
            // It was decided, so it may stand, or have stood, whatever a later attempt met.
            told = before.answer;
        }
        told = at(nowUs, told, attempt);
        if (answered.size() >= MOST_ANSWERED) {
            answered.remove(answered.keySet().iterator().next());
        }
        answered.put(asked, new Answered(told, nowUs));
        sender.send(to, told);
    }

    private ObserveMessage.Answer at(long nowUs, ObserveMessage.Answer told, long attempt) {
        return new ObserveMessage.Answer(told.id(), attempt, nowUs - bornUs, told.order(), told.type(), told.text(), told.remedy(),
                told.again());
    }

    private static ObserveMessage.Answer answer(String id, FleetException why, boolean again) {
        return new ObserveMessage.Answer(id, 0, 0, null, why.getClass().getSimpleName(), why.problem(), why.remedy(), again);
    }
}

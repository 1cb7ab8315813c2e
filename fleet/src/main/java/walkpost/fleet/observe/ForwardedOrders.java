package walkpost.fleet.observe;

import java.util.LinkedHashMap;
import java.util.Map;
import walkpost.fleet.FleetException;
import walkpost.fleet.copy.Order;

/**
 * The orders that observers have forwarded and this voter has given to its shards: owns which observers wait for each, and keeps the
 * replies for a while. A copy of a forwarded order that arrives late or again gets the same reply and is not proposed again, because its
 * caller may have been answered.
 */
final class ForwardedOrders {
    /** How many orders may be under way at a time; beyond that the voter refuses at once, and the observer tries another voter. */
    private static final int MAX_UNDER_WAY = 256;
    private static final int MAX_KEPT_REPLIES = 4 * MAX_UNDER_WAY;
    /** An order is under way in a shard for at most 2 s. */
    private static final long UNDER_WAY_TIMEOUT_US = 5_000_000;
    /** Far longer than a message is in flight, and than an observer keeps trying. */
    private static final long REPLY_RETENTION_US = 10_000_000;

    private static final String UNCERTAIN = FleetException.Uncertain.class.getSimpleName();

    private static final class OrderUnderWay {
        private final Map<String, Long> highestAttemptByObserver = new LinkedHashMap<>();
        private final long sinceUs;

        private OrderUnderWay(long sinceUs) {
            this.sinceUs = sinceUs;
        }
    }

    private record ReplyKey(String observer, String orderId) { }

    private record KeptReply(ObserveMessage.ForwardOrderReply reply, long repliedUs) { }

    private final ObserveCounters counters;
    private final Map<String, OrderUnderWay> underWay = new LinkedHashMap<>();
    private final Map<ReplyKey, KeptReply> keptReplies = new LinkedHashMap<>();
    private long startedUs = Long.MIN_VALUE;

    ForwardedOrders(ObserveCounters counters) {
        this.counters = counters;
    }

    /** Records the time of an event; the first one is the start of this life. */
    void recordTime(long nowUs) {
        startedUs = startedUs == Long.MIN_VALUE ? nowUs : startedUs;
    }

    /** Takes a forwarded order. Returns true if it is to be proposed: it is neither answered nor under way, nor one too many. */
    boolean receive(long nowUs, String from, ObserveMessage.ForwardOrder order, MessageSender sender) {
        KeptReply kept = keptReplies.get(new ReplyKey(from, order.id()));
        if (kept != null && (kept.reply.order() != null || order.attempt() <= kept.reply.attempt())) {
            sender.send(from, withAttempt(nowUs, kept.reply, kept.reply.attempt()));
            return false;
        }
        OrderUnderWay known = underWay.get(order.id());
        if (known != null) {
            known.highestAttemptByObserver.merge(from, order.attempt(), Math::max);
            return false;
        }
        if (underWay.size() >= MAX_UNDER_WAY) {
            counters.increment("calls.refused_many");
            ObserveMessage.ForwardOrderReply full = refusal(order.id(),
                    new FleetException.Full("orders under way at this voter", MAX_UNDER_WAY), true);
            reply(nowUs, from, full, order.attempt(), sender);
            return false;
        }
        var first = new OrderUnderWay(nowUs);
        first.highestAttemptByObserver.put(from, order.attempt());
        underWay.put(order.id(), first);
        counters.increment("calls");
        return true;
    }

    void acknowledged(long nowUs, String id, Order order, MessageSender sender) {
        end(nowUs, id, new ObserveMessage.ForwardOrderReply(id, 0, 0, order, null, null, null, false), sender);
    }

    void refused(long nowUs, String id, FleetException cause, MessageSender sender) {
        // After these refusals another voter, or this one a moment later, may accept the order: the slot's content is not the reason.
        boolean again = cause instanceof FleetException.NotLevel || cause instanceof FleetException.NoMajority
                || cause instanceof FleetException.Uncertain || cause instanceof FleetException.BadDirectory
                || cause instanceof FleetException.Busy busy && busy.isSameOrder();
        end(nowUs, id, refusal(id, cause, again), sender);
    }

    /** Forgets the orders and the replies whose time has passed. */
    void tick(long nowUs) {
        underWay.values().removeIf(each -> nowUs - each.sinceUs > UNDER_WAY_TIMEOUT_US);
        keptReplies.values().removeIf(each -> nowUs - each.repliedUs > REPLY_RETENTION_US);
    }

    private void end(long nowUs, String id, ObserveMessage.ForwardOrderReply reply, MessageSender sender) {
        OrderUnderWay ended = underWay.remove(id);
        if (ended != null) {
            ended.highestAttemptByObserver.forEach((to, attempt) -> reply(nowUs, to, reply, attempt, sender));
        }
    }

    private void reply(long nowUs, String to, ObserveMessage.ForwardOrderReply reply, long attempt, MessageSender sender) {
        var key = new ReplyKey(to, reply.id());
        KeptReply before = keptReplies.remove(key);
        ObserveMessage.ForwardOrderReply sent = reply;
        if (reply.order() == null && before != null && UNCERTAIN.equals(before.reply.type())) {
            // The order was decided, so that it may be or have been in force, whatever the result of a later attempt.
            sent = before.reply;
        }
        sent = withAttempt(nowUs, sent, attempt);
        if (keptReplies.size() >= MAX_KEPT_REPLIES) {
            keptReplies.remove(keptReplies.keySet().iterator().next());
        }
        keptReplies.put(key, new KeptReply(sent, nowUs));
        sender.send(to, sent);
    }

    private ObserveMessage.ForwardOrderReply withAttempt(long nowUs, ObserveMessage.ForwardOrderReply reply, long attempt) {
        return new ObserveMessage.ForwardOrderReply(reply.id(), attempt, nowUs - startedUs, reply.order(), reply.type(), reply.text(),
                reply.remedy(), reply.again());
    }

    private static ObserveMessage.ForwardOrderReply refusal(String id, FleetException cause, boolean again) {
        return new ObserveMessage.ForwardOrderReply(id, 0, 0, null, cause.getClass().getSimpleName(), cause.problem(), cause.remedy(),
                again);
    }
}

package walkpost.fleet.observe;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import walkpost.fleet.FleetException;
import walkpost.fleet.copy.Order;
import walkpost.fleet.member.Life;

/**
 * Forwards operators' orders that were given to an observer to the voters: owns the orders that are not answered yet. Each order goes to
 * one voter, once more to the same one if it does not answer, and then to the next, always with the same id, so that it is carried out
 * once, whichever voter does so.
 *
 * <p>A refusal is passed on to the caller only when every voter that received the order has refused every attempt, all of them in one
 * life. As long as one has not, it may still carry out the order, or may have done so before it died, and the caller is told that the
 * result is uncertain.
 */
final class OrderForwarder {
    private static final int ATTEMPTS_PER_VOTER = 2;
    /**
     * The delay after which a voter that already has the order under way, or is not caught up, is asked again. Within this time before the
     * deadline only a first attempt is sent.
     */
    private static final long RETRY_DELAY_US = 200_000;
    /** Attempt numbers that a life may use in each millisecond before they could collide with those of the next life. */
    private static final long ATTEMPTS_PER_MS = 1_000;
    private static final String UNCERTAIN = FleetException.Uncertain.class.getSimpleName();

    /** The attempts that one voter was sent of an order, and the ones that it has refused. */
    private static final class VoterAttempts {
        private final long firstSentUs;
        private long lastSent;
        private long lastRefused;

        private VoterAttempts(long firstSentUs) {
            this.firstSentUs = firstSentUs;
        }

        /**
         * Returns whether a voter that has run for this time received all attempts in one life. The sixteenth that is taken off covers
         * the clocks of both sides, which may each be wrong by 2%.
         */
        private boolean allInOneLife(long nowUs, long aliveUs) {
            return aliveUs - aliveUs / 16 >= nowUs - firstSentUs;
        }

        private boolean isOpen() {
            return lastRefused < lastSent;
        }
    }

    private static final class ForwardedOrder {
        private final ObserverEvent.Propose order;
        private final long deadlineUs;
        private final Map<String, VoterAttempts> attemptsByVoter = new TreeMap<>();
        private int sentCount;
        private long nextUs;
        private FleetException cause;
        /** Whether a voter has refused the order for good, so that no other voter is asked; those asked before may still carry it out. */
        private boolean refused;
        /** Whether a voter has decided the order but could not say that a majority holds it. */
        private boolean uncertain;

        private ForwardedOrder(ObserverEvent.Propose order, long nowUs, long deadlineUs) {
            this.order = order;
            this.nextUs = nowUs;
            this.deadlineUs = deadlineUs;
        }

        /** Returns the voters that may still carry out the order. */
        private List<String> openVoters() {
            return attemptsByVoter.entrySet().stream().filter(each -> each.getValue().isOpen()).map(Map.Entry::getKey).toList();
        }

        private boolean isCertainlyRefused() {
            return cause != null && !uncertain && openVoters().isEmpty();
        }

        /** Returns the voter to send the order to next, or null if there is none. */
        private String nextVoter(List<String> voters) {
            List<String> candidates = new ArrayList<>(refused && !uncertain ? openVoters() : voters);
            return candidates.isEmpty() ? null : candidates.get(sentCount / ATTEMPTS_PER_VOTER % candidates.size());
        }
    }

    private final ObserveSettings settings;
    private final String self;
    private final ObserveCounters counters;
    private final Map<String, ForwardedOrder> forwardedOrders = new LinkedHashMap<>();
    private long lastAttempt;

    OrderForwarder(ObserveSettings settings, Life self, ObserveCounters counters) {
        this.settings = settings;
        this.self = self.name();
        this.counters = counters;
        lastAttempt = Math.min(self.incarnation(), Long.MAX_VALUE / (2 * ATTEMPTS_PER_MS)) * ATTEMPTS_PER_MS;
    }

    /** Accepts an order; one with the id of an order under way gets the same answer as that. */
    void propose(long nowUs, ObserverEvent.Propose order) {
        forwardedOrders.putIfAbsent(order.id(), new ForwardedOrder(order, nowUs, nowUs + settings.forwardTimeoutUs()));
    }

    /** Sends the attempts that are due, to the voters in the given order, and fails the orders past their deadline. */
    void tick(long nowUs, List<String> voters, long awayUs, MessageSender sender, Consumer<ObserverAction> actions) {
        for (ForwardedOrder forwarded : List.copyOf(forwardedOrders.values())) {
            if (nowUs >= forwarded.deadlineUs) {
                counters.increment("calls.failed");
                refuse(forwarded, causeAtDeadline(forwarded, awayUs), actions);
            } else if (nowUs >= forwarded.nextUs && (nowUs < forwarded.deadlineUs - RETRY_DELAY_US || forwarded.sentCount == 0)) {
                send(nowUs, forwarded, forwarded.nextVoter(voters), sender);
            }
        }
    }

    private void send(long nowUs, ForwardedOrder forwarded, String to, MessageSender sender) {
        if (to == null) {
            return;
        }
        ObserverEvent.Propose order = forwarded.order;
        forwarded.attemptsByVoter.computeIfAbsent(to, name -> new VoterAttempts(nowUs)).lastSent = ++lastAttempt;
        forwarded.sentCount++;
        forwarded.nextUs = nowUs + settings.retransmitUs();
        sender.send(to, new ObserveMessage.ForwardOrder(order.key(), order.id(), order.replaces(), order.payload(), lastAttempt));
    }

    /** Takes a voter's reply; passes the result on once it is certain. */
    void receiveReply(long nowUs, String from, ObserveMessage.ForwardOrderReply reply, Consumer<ObserverAction> actions) {
        ForwardedOrder forwarded = forwardedOrders.get(reply.id());
        VoterAttempts attempts = forwarded == null ? null : forwarded.attemptsByVoter.get(from);
        if (attempts == null) {
            return;
        }
        Order order = reply.order();
        if (order != null) {
            if (order.id().equals(reply.id()) && order.key().equals(forwarded.order.key())) {
                forwardedOrders.remove(reply.id());
                actions.accept(new ObserverAction.Acknowledged(reply.id(), order));
            }
            return;
        }
        if (reply.type() == null || reply.text() == null || reply.remedy() == null || reply.attempt() > attempts.lastSent
                || reply.attempt() <= attempts.lastRefused) {
            return;
        }
        if (attempts.allInOneLife(nowUs, reply.aliveUs())) {
            attempts.lastRefused = reply.attempt();
        }
        forwarded.uncertain |= reply.type().equals(UNCERTAIN);
        if (!forwarded.refused || !reply.again()) {
            forwarded.cause = new FleetException.FromVoter(from, reply.type(), reply.text(), reply.remedy());
        }
        forwarded.refused |= !reply.again();
        if (forwarded.refused && forwarded.isCertainlyRefused()) {
            counters.increment("calls.refused");
            refuse(forwarded, forwarded.cause, actions);
        } else if (reply.again()) {
            forwarded.nextUs = Math.max(forwarded.nextUs, nowUs + RETRY_DELAY_US);
        }
    }

    private void refuse(ForwardedOrder forwarded, FleetException cause, Consumer<ObserverAction> actions) {
        forwardedOrders.remove(forwarded.order.id());
        actions.accept(new ObserverAction.Refused(forwarded.order.id(), cause));
    }

    private FleetException causeAtDeadline(ForwardedOrder forwarded, long awayUs) {
        if (forwarded.sentCount == 0) {
            return new FleetException.NoVoter(forwarded.order.id(), self, Observer.formatAge(awayUs));
        }
        return forwarded.isCertainlyRefused() ? forwarded.cause
                : new FleetException.Uncertain(forwarded.order.id(),
                        forwarded.openVoters().isEmpty() ? forwarded.attemptsByVoter.keySet() : forwarded.openVoters());
    }
}

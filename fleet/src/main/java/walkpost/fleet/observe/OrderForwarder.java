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
 * Operators' orders that were given to an observer: owns those that are not answered yet. Each goes to one voter, once more to the same
 * one where it says nothing, and then over the next, always with the same id: whoever carries it out, it is carried out once.
 *
 * <p>A refusal is passed on only once every voter that the order was sent to has refused every attempt, all in one life: as long as one
 * has not, it may still carry it out, or has done so before it died, and the caller is told that it is not certain.
 */
final class OrderForwarder {
    private static final int TIMES_EACH = 2;
    /** A voter that has the order on its way already, or is not level, is asked again after this; and nobody so short before the end. */
    private static final long AGAIN_US = 200_000;
    /** Attempts that a life may make in each millisecond before its numbers could meet those of the next one. */
    private static final long PER_MS = 1_000;
    private static final String UNCERTAIN = FleetException.Uncertain.class.getSimpleName();

    /** What one voter was sent of a call, and what it has answered. */
    private static final class VoterAttempts {
        private final long firstUs;
        private long sent;
        private long settled;

        private VoterAttempts(long firstUs) {
            this.firstUs = firstUs;
        }

        /** Returns whether a voter that has run for so long has got all that was sent to it in one life; clocks may be 2% wrong each. */
        private boolean oneLife(long nowUs, long aliveUs) {
            return aliveUs - aliveUs / 16 >= nowUs - firstUs;
        }

        private boolean open() {
            return settled < sent;
        }
    }

    private static final class ForwardedOrder {
        private final ObserverEvent.Propose order;
        private final long deadlineUs;
        private final Map<String, VoterAttempts> tried = new TreeMap<>();
        private int sent;
        private long nextUs;
        private FleetException why;
        /** No voter will make anything of it, one has said; but others were asked as well. */
        private boolean refused;
        /** A voter has decided it, and could not say that a majority holds it. */
        private boolean uncertain;

        private ForwardedOrder(ObserverEvent.Propose order, long nowUs, long deadlineUs) {
            this.order = order;
            this.nextUs = nowUs;
            this.deadlineUs = deadlineUs;
        }

        /** Returns the voters that may still carry it out. */
        private List<String> open() {
            return tried.entrySet().stream().filter(each -> each.getValue().open()).map(Map.Entry::getKey).toList();
        }

        private boolean firm() {
            return why != null && !uncertain && open().isEmpty();
        }

        /** Returns whom to send it to next. */
        private String next(List<String> voters) {
            List<String> among = new ArrayList<>(refused && !uncertain ? open() : voters);
            return among.isEmpty() ? null : among.get(sent / TIMES_EACH % among.size());
        }
    }

    private final ObserveSettings settings;
    private final String self;
    private final ObserveCounters counters;
    private final Map<String, ForwardedOrder> calls = new LinkedHashMap<>();
    private long attempts;

    OrderForwarder(ObserveSettings settings, Life self, ObserveCounters counters) {
        this.settings = settings;
        this.self = self.name();
        this.counters = counters;
        attempts = Math.min(self.incarnation(), Long.MAX_VALUE / (2 * PER_MS)) * PER_MS;
    }

    /** Takes an order; one with an id that is on its way already gets the same answer. */
    void propose(long nowUs, ObserverEvent.Propose order) {
        calls.putIfAbsent(order.id(), new ForwardedOrder(order, nowUs, nowUs + settings.callUs()));
    }

    /** Sends what is due to the voters in turn, and gives up what is over. */
    void tick(long nowUs, List<String> voters, long awayUs, MessageSender sender, Consumer<ObserverAction> actions) {
        for (ForwardedOrder call : List.copyOf(calls.values())) {
            if (nowUs >= call.deadlineUs) {
                counters.increment("calls.failed");
                refuse(call, why(call, awayUs), actions);
            } else if (nowUs >= call.nextUs && (nowUs < call.deadlineUs - AGAIN_US || call.sent == 0)) {
                send(nowUs, call, call.next(voters), sender);
            }
        }
    }

    private void send(long nowUs, ForwardedOrder call, String to, MessageSender sender) {
        if (to == null) {
            return;
        }
        ObserverEvent.Propose order = call.order;
        call.tried.computeIfAbsent(to, name -> new VoterAttempts(nowUs)).sent = ++attempts;
        call.sent++;
        call.nextUs = nowUs + settings.repeatUs();
        sender.send(to, new ObserveMessage.Call(order.key(), order.id(), order.replaces(), order.payload(), attempts));
    }

    void answer(long nowUs, String from, ObserveMessage.Answer answer, Consumer<ObserverAction> actions) {
        ForwardedOrder call = calls.get(answer.id());
        VoterAttempts tried = call == null ? null : call.tried.get(from);
        if (tried == null) {
            return;
        }
        Order order = answer.order();
        if (order != null) {
            if (order.id().equals(answer.id()) && order.key().equals(call.order.key())) {
                calls.remove(answer.id());
                actions.accept(new ObserverAction.Acknowledged(answer.id(), order));
            }
            return;
        }
        if (answer.type() == null || answer.text() == null || answer.remedy() == null || answer.attempt() > tried.sent
                || answer.attempt() <= tried.settled) {
            return;
        }
        if (tried.oneLife(nowUs, answer.aliveUs())) {
            tried.settled = answer.attempt();
        }
        call.uncertain |= answer.type().equals(UNCERTAIN);
        if (!call.refused || !answer.again()) {
            call.why = new FleetException.FromVoter(from, answer.type(), answer.text(), answer.remedy());
        }
        call.refused |= !answer.again();
        if (call.refused && call.firm()) {
            counters.increment("calls.refused");
            refuse(call, call.why, actions);
        } else if (answer.again()) {
            call.nextUs = Math.max(call.nextUs, nowUs + AGAIN_US);
        }
    }

    private void refuse(ForwardedOrder call, FleetException why, Consumer<ObserverAction> actions) {
        calls.remove(call.order.id());
        actions.accept(new ObserverAction.Refused(call.order.id(), why));
    }

    private FleetException why(ForwardedOrder call, long awayUs) {
        if (call.sent == 0) {
            return new FleetException.NoVoter(call.order.id(), self, Observer.words(awayUs));
        }
        return call.firm() ? call.why
                : new FleetException.Uncertain(call.order.id(), call.open().isEmpty() ? call.tried.keySet() : call.open());
    }
}

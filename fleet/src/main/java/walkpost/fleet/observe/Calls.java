package walkpost.fleet.observe;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import walkpost.fleet.FleetException;
import walkpost.fleet.copy.Order;

/**
 * Operators' orders that were given to an observer: owns those that are not answered yet. Each goes to one voter, once more to the same
 * one where it says nothing, and then over the next, always with the same id: whoever carries it out, it is carried out once.
 */
final class Calls {
    private static final int TIMES_EACH = 2;
    /** A voter that has the order on its way already, or is not level, is asked again after this. */
    private static final long AGAIN_US = 200_000;

    private static final class Call {
        private final ObserveMessage.Call message;
        private final long deadlineUs;
        private int sent;
        private long nextUs;
        private FleetException why;

        private Call(ObserveMessage.Call message, long nowUs, long deadlineUs) {
            this.message = message;
            this.nextUs = nowUs;
            this.deadlineUs = deadlineUs;
        }
    }

    private final ObserveSettings settings;
    private final String self;
    private final Counts counts;
    private final Map<String, Call> calls = new LinkedHashMap<>();

    Calls(ObserveSettings settings, String self, Counts counts) {
        this.settings = settings;
        this.self = self;
        this.counts = counts;
    }

    /** Takes an order; one with an id that is on its way already gets the same answer. */
    void propose(long nowUs, ObserverEvent.Propose order) {
        calls.putIfAbsent(order.id(), new Call(new ObserveMessage.Call(order.key(), order.id(), order.replaces(), order.payload()), nowUs,
                nowUs + settings.callUs()));
    }

    /** Sends what is due to the voters in turn, and gives up what is over. */
    void tick(long nowUs, List<String> voters, long awayUs, Send send, Consumer<ObserverAction> actions) {
        for (Call call : List.copyOf(calls.values())) {
            if (nowUs >= call.deadlineUs) {
                calls.remove(call.message.id());
                counts.count("calls.failed");
                actions.accept(new ObserverAction.Refused(call.message.id(), why(call, voters, awayUs)));
            } else if (nowUs >= call.nextUs && !voters.isEmpty()) {
                send.to(voters.get(call.sent / TIMES_EACH % voters.size()), call.message);
                call.sent++;
                call.nextUs = nowUs + settings.repeatUs();
            }
        }
    }

    void answer(long nowUs, String from, ObserveMessage.Answer answer, Consumer<ObserverAction> actions) {
        Call call = calls.get(answer.id());
        if (call == null) {
            return;
        }
        Order order = answer.order();
        if (order != null) {
            if (order.id().equals(answer.id()) && order.key().equals(call.message.key())) {
                calls.remove(answer.id());
                actions.accept(new ObserverAction.Acknowledged(answer.id(), order));
            }
            return;
        }
        if (answer.type() == null || answer.text() == null || answer.remedy() == null) {
            return;
        }
        call.why = new FleetException.FromVoter(from, answer.type(), answer.text(), answer.remedy());
        if (answer.again()) {
            call.nextUs = Math.max(call.nextUs, nowUs + AGAIN_US);
        } else {
            calls.remove(answer.id());
            counts.count("calls.refused");
            actions.accept(new ObserverAction.Refused(answer.id(), call.why));
        }
    }

    private FleetException why(Call call, List<String> voters, long awayUs) {
        if (call.why != null) {
            return call.why;
        }
        return call.sent == 0 ? new FleetException.NoVoter(call.message.id(), self, Observer.words(awayUs))
                : new FleetException.Uncertain(call.message.id(), voters.subList(0, Math.min(voters.size(), 1 + call.sent / TIMES_EACH)));
    }
}

package walkpost.lab.verdict;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import walkpost.lab.verdict.Break.Rule;

/** Reads what the doors of a fleet's members have said, and has it judged: {@code docs/lab.md}, "Fleets whose proxies are members". */
final class CopyRules {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<DoorCall> calls;
    private final Consumer<Break> breaks;

    private CopyRules(List<DoorCall> calls, Consumer<Break> breaks) {
        this.calls = calls;
        this.breaks = breaks;
    }

    /** Judges a play whose proxies are members of each other; of any other nothing is said. */
    static void check(Evidence evidence, Consumer<Break> breaks) {
        if (evidence.scenario.fleet().members() == null) {
            return;
        }
        List<DoorCall> calls = DoorCall.of(evidence.ledger);
        var rules = new CopyRules(calls, breaks);
        Map<String, Given> given = Given.of(calls);
        List<CopyView> views = rules.read("orders", CopyView::of);
        new OrderRules(evidence, given, views, breaks).check();
        new ExclusionRules(evidence, given, views, breaks).check();
        new InForceRules(evidence, given, views, HollowLife.of(evidence), breaks).check();
        var members = new MemberRules(evidence, breaks);
        members.seen(rules.read("fleet", MemberRules.Fleet::of));
        members.facts(rules.read("facts", MemberRules.Facts::of));
    }

    /** Returns what proxies showed of their copies, as far as it can be read. */
    static List<CopyView> views(Evidence evidence) {
        return new CopyRules(DoorCall.of(evidence.ledger), broken -> { }).read("orders", CopyView::of);
    }

    /** Reads all answers to a question; one of another form than promised breaks a rule by itself. */
    private <V> List<V> read(String question, BiFunction<DoorCall, JsonNode, V> reader) {
        var views = new ArrayList<V>();
        for (DoorCall call : calls) {
            if (!call.succeeded() || !call.line().split(" ")[0].equals(question)) {
                continue;
            }
            V view = null;
            try {
                view = reader.apply(call, JSON.readTree(call.answer().substring(DoorCall.SUCCESS.length())));
            } catch (JsonProcessingException e) {
                // Told below, as any other answer that can't be read.
            }
            if (view == null) {
                breaks.accept(new Break(Rule.ANSWER, call.toUs(), call.proxy(), "", "'" + call.line() + "' at the door was answered '"
                        + call.answer() + "'"));
            } else {
                views.add(view);
            }
        }
        return views;
    }
}

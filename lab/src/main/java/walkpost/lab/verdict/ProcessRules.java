package walkpost.lab.verdict;

import java.util.HashSet;
import java.util.function.Consumer;
import walkpost.lab.ledger.Seen;
import walkpost.lab.verdict.Break.Rule;

/** The rules that are about processes: none ends by itself, none goes over its limits, none serves who asks for nothing. */
final class ProcessRules {
    private final Evidence evidence;
    private final Consumer<Break> breaks;

    ProcessRules(Evidence evidence, Consumer<Break> breaks) {
        this.evidence = evidence;
        this.breaks = breaks;
    }

    void check() {
        for (Seen.ProxyIs is : evidence.all(Seen.ProxyIs.class)) {
            if (is.life() == Seen.Life.ENDED && is.detail().contains("by itself")) {
                breaks.accept(new Break(Rule.PROCESS, is.t(), is.proxy(), "", "the process ended: " + is.detail()));
            }
        }
        for (Seen.SideIs is : evidence.all(Seen.SideIs.class)) {
            if (is.life() == Seen.Life.ENDED && is.detail().contains("by itself")) {
                breaks.accept(new Break(Rule.PROCESS, is.t(), -1, is.process(), "the process ended: " + is.detail()));
            }
        }
        var over = new HashSet<String>();
        for (Seen.Used used : evidence.all(Seen.Used.class)) {
            limit(over, used, "memory in KiB", used.memoryKb(), evidence.scenario.fleet().memory() >> 10);
            limit(over, used, "descriptors", used.descriptors(), evidence.scenario.fleet().sockets());
        }
        for (Seen.PeerIs peer : evidence.all(Seen.PeerIs.class)) {
            if (peer.got() == Seen.Got.SERVED) {
                breaks.accept(new Break(Rule.ANSWER, peer.t(), peer.proxy(), "", "a peer that sent no proper request was served"));
            }
        }
    }

    private void limit(HashSet<String> over, Seen.Used used, String what, long is, long most) {
        if (is > most && over.add(used.proxy() + what)) {
            breaks.accept(new Break(Rule.PROCESS, used.t(), used.proxy(), "", what + ": " + is + ", at most " + most));
        }
    }
}

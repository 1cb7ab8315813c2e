package walkpost.fleet.shell;

import java.util.List;
import walkpost.fleet.copy.Fact;

/**
 * The facts of a topic, as an operator gets to see them.
 *
 * @param facts their ages counted to now; those older than their bound are among them
 * @param silent the voters that did not answer in time, so that facts reported to these alone are missing
 */
public record FactsHeard(List<Fact> facts, List<String> silent) {
    public FactsHeard {
        facts = List.copyOf(facts);
        silent = List.copyOf(silent);
    }
}

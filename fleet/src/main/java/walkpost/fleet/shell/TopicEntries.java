package walkpost.fleet.shell;

import java.util.List;
import walkpost.fleet.copy.Entry;

/**
 * The facts of a topic, as an operator gets to see them.
 *
 * @param facts their ages counted to now; those older than their bound are among them
 * @param silent the voters that did not answer in time, so that facts reported to these alone are missing
 */
public record TopicEntries(List<Entry> facts, List<String> silent) {
    public TopicEntries {
        facts = List.copyOf(facts);
        silent = List.copyOf(silent);
    }
}

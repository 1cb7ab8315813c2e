package walkpost.fleet.shell;

import java.util.List;
import walkpost.fleet.copy.Entry;

/**
 * The entries of a topic, as an operator gets to see them.
 *
 * @param entries their ages counted to now; those older than their bound are among them
 * @param silent the voters that did not answer in time, so that entries reported to these alone are missing
 */
public record TopicEntries(List<Entry> entries, List<String> silent) {
    public TopicEntries {
        entries = List.copyOf(entries);
        silent = List.copyOf(silent);
    }
}

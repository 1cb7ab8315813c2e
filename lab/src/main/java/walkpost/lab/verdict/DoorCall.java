package walkpost.lab.verdict;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import walkpost.lab.ledger.Seen;

/**
 * One call at a proxy's door.
 *
 * @param fromUs when it was written: what it tells was so no sooner
 * @param toUs when it ended: what it tells was so no later; {@link Long#MAX_VALUE} where the ledger has no end of it
 * @param answer the line that came; null where none came
 */
record DoorCall(long fromUs, long toUs, int proxy, String line, String answer) {
    static final String SUCCESS = "SUCCESS";
    static final String FAILURE = "FAILURE";

    /** Returns all calls of a ledger, by when they were written. */
    static List<DoorCall> of(List<Seen> ledger) {
        var open = new LinkedHashMap<Long, Seen.DoorCalled>();
        var ends = new LinkedHashMap<Long, Seen.DoorAnswered>();
        for (Seen seen : ledger) {
            if (seen instanceof Seen.DoorCalled s) {
                open.put(s.call(), s);
            } else if (seen instanceof Seen.DoorAnswered s) {
                ends.put(s.call(), s);
            }
        }
        var calls = new ArrayList<DoorCall>();
        open.forEach((number, called) -> {
            Seen.DoorAnswered end = ends.get(number);
            calls.add(new DoorCall(called.t(), end == null ? Long.MAX_VALUE : end.t(), called.proxy(), called.line(),
                    end != null && end.whole() ? end.line() : null));
        });
        return calls;
    }

    boolean succeeded() {
        return answer != null && answer.startsWith(SUCCESS);
    }
}

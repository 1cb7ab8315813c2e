package walkpost.lab.scenario;

import java.util.List;
import java.util.Map;

/**
 * What proxies that are members of each other are told, and how long they may take. Durations are in microseconds.
 *
 * @param directory whether a member keeps its copy on disk
 * @param shards how many a copy has
 * @param boundsUs how old facts of a topic may become; topics left out have the program's own bound
 * @param convergeUs after so long without trouble copies are alike
 * @param noticeUs after so long without trouble members know who lives
 * @param pollUs between one round of questions at a proxy's door and the next
 * @param calls what is asked at doors besides
 */
public record Members(boolean directory, int shards, Map<String, Long> boundsUs, long convergeUs, long noticeUs, long pollUs,
        List<Call> calls) {
    /** Copies the collections. */
    public Members {
        boundsUs = Map.copyOf(boundsUs);
        calls = List.copyOf(calls);
    }

    /**
     * A call at the doors of some proxies.
     *
     * @param atUs when, from the first arrival
     * @param proxies whose doors; empty for each that runs then
     * @param line with {@code s-N} for the server of that number
     * @param againUs it is called again after so long until it is answered {@code SUCCESS}; 0 for once
     */
    public record Call(long atUs, List<Integer> proxies, String line, long againUs) {
        /** Copies the list. */
        public Call {
            proxies = List.copyOf(proxies);
        }
    }

    /** Returns the longest time that anything is given to settle. */
    public long settleUs() {
        return Math.max(convergeUs, noticeUs);
    }
}

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
 * @param inForceUs after so long an order is in force at all that are in reach; 0 where that is not judged
 * @param pollUs between one round of questions at a proxy's door and the next
 * @param voters how many processes of their own vote, and the proxies do not; 0 where the proxies vote
 * @param hollow members that serve nothing, many to a process; null where there are none
 * @param calls what is asked at doors besides
 */
public record Members(boolean directory, int shards, Map<String, Long> boundsUs, long convergeUs, long noticeUs,
        long inForceUs, long pollUs, int voters, Hollow hollow, List<Call> calls) {
    /** What a process with hollow members has said of orders within so long after they came in force stands in its log. */
    private static final long TOLD_US = 6_000_000;

    /** Copies the collections. */
    public Members {
        boundsUs = Map.copyOf(boundsUs);
        calls = List.copyOf(calls);
    }

    /**
     * Members that serve nothing.
     *
     * @param members how many in all
     * @param processes among how many processes they are dealt out, as evenly as can be
     * @param heap what the virtual machine of each process may take for objects
     */
    public record Hollow(int members, int processes, long heap) {
        /** Returns how many the process of a number holds. */
        public int in(int process) {
            return members / processes + (process < members % processes ? 1 : 0);
        }
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
        return Math.max(Math.max(convergeUs, noticeUs), inForceUs > 0 ? inForceUs + TOLD_US : 0);
    }
}

package walkpost.lab.verdict;

/**
 * A rule that was broken.
 *
 * @param id the request, order, server or member that it is about; empty where it is about none
 * @param proxy -1 where it is about no one proxy
 */
public record Break(Rule rule, long t, int proxy, String id, String what) {
    /** The rules, by the names of docs/lab.md. */
    public enum Rule {
        ANSWER, DOOR, BODY, REPEAT, STRANGER, DRAIN, COLD, PROCESS,
        /** What follows is about what proxies hold together. */
        ORDER_LOST, RIVALS_LOST, ORDER_BY_ITSELF, COPIES_DIFFER, EXCLUSION_IGNORED, MEMBER_UNSEEN, FACT_TOO_OLD, ORDER_LATE
    }
}

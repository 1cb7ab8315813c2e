package walkpost.lab.baseline;

/** What a deliberately wrong proxy does now and then, or always; each breaks one rule. */
public enum Wrong {
    /** Answers a request twice. */
    ANSWERS_TWICE,
    /** Takes a request, has it served, and says nothing. */
    DROPS,
    /** Hangs up instead of answering. */
    HANGS_UP,
    /** Serves a body that nobody made. */
    INVENTS,
    /** Serves the body of another request. */
    SWAPS,
    /** Ends in the middle of an answer that came whole. */
    BREAKS_OFF,
    /** Sends a keyed request again once its repeats are no longer dropped. */
    REPEATS_LATE,
    /** Sends on more attempts than allowed. */
    TRIES_TOO_OFTEN,
    /** Sends a request that must not be repeated again after an error. */
    REPEATS_UNSAFE,
    /** Sends two copies at once where that is not allowed. */
    COPIES,
    /** Sends to servers that drain 400 ms after it was told. */
    IGNORES_DRAINS,
    /** Waits for good on a watch that has fallen silent. */
    TRUSTS_SILENCE,
    /** Sends a server that has just started as much as any. */
    FLOODS_COLD,
    /** Sends requests under ids of its own. */
    MAKES_REQUESTS,
    /** Sends on another key. */
    CHANGES_KEYS,
    /** Ends by itself. */
    CRASHES,
    /** Serves whoever sends no proper request. */
    SERVES_THE_RUDE,
    /** Closes new connections without a word. */
    SHUTS_THE_DOOR
}

package walkpost.fleet.sim;

/** Who votes in a cluster. */
enum Layout {
    /** Three to twelve members, each with a copy of all shards; most are configured, and all of them compare themselves. */
    ALL_COPY,
    /** Three voters, and twelve observers that they feed. */
    FEW_VOTE
}

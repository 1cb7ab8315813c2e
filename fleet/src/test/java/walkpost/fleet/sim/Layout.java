package walkpost.fleet.sim;

/** Which members of a simulated fleet vote. */
enum Layout {
    /** Three to twelve members, each with a replica of all shards. Most are configured, and all compare their replicas. */
    ALL_COPY,
    /** Three voters, and twelve observers that receive the voters' feeds. */
    FEW_VOTE
}

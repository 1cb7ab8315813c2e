package walkpost.proxy;

import java.util.concurrent.CompletionStage;

/**
 * Gives the rest of the proxy access to the fleet without using the fleet's classes, so that none of them is loaded if no fleet is
 * configured. Any thread may call. The stage that a call returns completes, on any thread, with the whole line that answers the operator.
 */
interface FleetAccess {
    /**
     * The status that a proxy publishes to the other members.
     *
     * @param ready whether the proxy is ready for clients
     * @param open the number of requests without a response or with attempts in progress
     * @param servers the number of servers that the proxy may send to
     * @param version the version of the program
     */
    record ProxyStatus(boolean ready, int open, int servers, String version) { }

    /** Returns the members as this one sees them, and its counters. */
    CompletionStage<String> describeFleet();

    /** Returns the orders in force. */
    CompletionStage<String> describeOrders();

    /** Returns the entries of a topic. */
    CompletionStage<String> describeEntries(String topic);

    /** Returns how many members have an order on a server, or a later one, and the names of some that lack it. */
    CompletionStage<String> describeOrderCoverage(String server, String orderId);

    /**
     * Issues an order that excludes a server from all proxies, or includes it again.
     *
     * @param orderId the caller's own id, unique: an order that is sent again is carried out once
     * @param replaces the id of the order to replace, {@code -} if it must be the first on this server, null to replace any order in force
     */
    CompletionStage<String> issueOrder(String server, boolean exclude, String orderId, String replaces);

    /** Leaves the fleet and notifies the other members. */
    void close();
}

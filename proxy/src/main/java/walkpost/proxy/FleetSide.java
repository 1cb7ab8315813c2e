package walkpost.proxy;

import java.util.concurrent.CompletionStage;

/**
 * What the rest of a proxy may do with the fleet, in words of its own: where the fleet is off nothing of it is loaded. A call's stage ends
 * with the whole line for its caller, on any thread.
 */
interface FleetSide {
    /**
     * What a proxy tells the others of itself.
     *
     * @param open requests that want an answer or have attempts out
     * @param servers tile servers that it may send to
     * @param version of the program
     */
    record Condition(boolean ready, int open, int servers, String version) { }

    /** Tells who is a member, as this one sees it, and what was counted. */
    CompletionStage<String> fleet();

    /** Tells which orders stand. */
    CompletionStage<String> orders();

    /** Tells the facts of a topic. */
    CompletionStage<String> facts(String topic);

    /** Tells by how many an order on a tile server is held, or what has come after it, and names some that lack it. */
    CompletionStage<String> held(String server, String id);

    /**
     * Orders a tile server out of all proxies, or back.
     *
     * @param id the caller's own, unique: sent again it is carried out once
     * @param replaces the id of the order that it is to replace, {@code -} for the first, null for whatever stands
     */
    CompletionStage<String> order(String server, boolean out, String id, String replaces);

    /** Says good-bye to the other members. */
    void close();
}

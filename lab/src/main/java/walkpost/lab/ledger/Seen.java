package walkpost.lab.ledger;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * Something that was seen, at a moment in microseconds from the first arrival's zero; before it, while the fleet starts, the
 * moments are negative. A proxy and an arrival go by their numbers in the plan, a tile server by its id.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "seen")
@JsonSubTypes({@JsonSubTypes.Type(value = Seen.Begun.class, name = "begun"),
    @JsonSubTypes.Type(value = Seen.Asked.class, name = "asked"), @JsonSubTypes.Type(value = Seen.Unsent.class, name = "unsent"),
    @JsonSubTypes.Type(value = Seen.Answered.class, name = "answered"), @JsonSubTypes.Type(value = Seen.Closed.class, name = "closed"),
    @JsonSubTypes.Type(value = Seen.Left.class, name = "left"), @JsonSubTypes.Type(value = Seen.Missed.class, name = "missed"),
    @JsonSubTypes.Type(value = Seen.Extra.class, name = "extra"), @JsonSubTypes.Type(value = Seen.Arrived.class, name = "arrived"),
    @JsonSubTypes.Type(value = Seen.Replied.class, name = "replied"), @JsonSubTypes.Type(value = Seen.Stranger.class, name = "stranger"),
    @JsonSubTypes.Type(value = Seen.Pressed.class, name = "pressed"), @JsonSubTypes.Type(value = Seen.ServerIs.class, name = "server"),
    @JsonSubTypes.Type(value = Seen.Called.class, name = "called"), @JsonSubTypes.Type(value = Seen.Silent.class, name = "silent"),
    @JsonSubTypes.Type(value = Seen.Told.class, name = "told"),
    @JsonSubTypes.Type(value = Seen.Listed.class, name = "listed"), @JsonSubTypes.Type(value = Seen.ProxyIs.class, name = "proxy"),
    @JsonSubTypes.Type(value = Seen.FaultIs.class, name = "fault"), @JsonSubTypes.Type(value = Seen.PeerIs.class, name = "peer"),
    @JsonSubTypes.Type(value = Seen.Used.class, name = "used"), @JsonSubTypes.Type(value = Seen.Sampled.class, name = "sampled"),
    @JsonSubTypes.Type(value = Seen.Held.class, name = "held"), @JsonSubTypes.Type(value = Seen.Finished.class, name = "finished"),
    @JsonSubTypes.Type(value = Seen.DoorCalled.class, name = "door_called"),
    @JsonSubTypes.Type(value = Seen.DoorAnswered.class, name = "door_answered"),
    @JsonSubTypes.Type(value = Seen.CopyGone.class, name = "copy_gone"),
    @JsonSubTypes.Type(value = Seen.SideIs.class, name = "side"), @JsonSubTypes.Type(value = Seen.SideUsed.class, name = "side_used"),
    @JsonSubTypes.Type(value = Seen.Said.class, name = "said")})
public sealed interface Seen {
    /** Returns the moment. */
    long t();

    /** The play began. {@code unixMs} is the zero in Unix time. */
    record Begun(long t, String scenario, long seed, long unixMs, String program) implements Seen { }

    /**
     * A client wrote a request whole.
     *
     * @param arrival its number in the plan, or -1 for none
     * @param attempt which try of it, from 0
     * @param dueUs when it should have been written
     * @param connection the client's number of the connection
     * @param fresh whether it is the first on its connection
     * @param workUs what it costs, in microseconds on a standard core
     * @param content a checksum over method, path, key and body
     * @param lateUs how late the lab itself was: from due until its connections had the request; 0 for a repeat
     */
    record Asked(long t, int arrival, int attempt, String id, long dueUs, int proxy, long connection, boolean fresh, long workUs,
            long patienceUs, long content, long lateUs) implements Seen { }

    /** A client could not write a request: nobody was admitted, or no connection came up. */
    record Unsent(long t, int arrival, int attempt, String id, long dueUs, int proxy, String why) implements Seen { }

    /** A client read an answer whole. {@code body} is a checksum, {@code retryAfterUs} below 0 where nothing is said. */
    record Answered(long t, String id, int proxy, int status, long body, long retryAfterUs) implements Seen { }

    /** The connection ended before a whole answer; {@code begun} where something of it had come. */
    record Closed(long t, String id, int proxy, boolean fresh, boolean begun) implements Seen { }

    /** The client's time was up; it no longer waits for this answer, but still looks for it for half a second. */
    record Left(long t, String id, int proxy) implements Seen { }

    /** Half a second after the client's time there was still no answer. */
    record Missed(long t, String id, int proxy) implements Seen { }

    /** An answer came on a connection on which none was due. */
    record Extra(long t, int proxy, long connection, int status) implements Seen { }

    /**
     * A tile server read an attempt whole.
     *
     * @param firstUs when its first byte came
     * @param attempt a number of its own
     * @param connection the server's number of the connection
     */
    record Arrived(long t, long firstUs, long attempt, String id, int proxy, String server, long connection, long content)
            implements Seen { }

    /** How an attempt ended at a tile server. */
    enum End { SERVED, ERROR, TURNED_AWAY, LEFT, DOWN }

    /** An attempt ended at a tile server; {@code body} is the checksum of what was made, 0 for nothing. */
    record Replied(long t, long attempt, String id, String server, End end, long body) implements Seen { }

    /** A tile server read a request that no client had sent. */
    record Stranger(long t, int proxy, String server, String id, String line) implements Seen { }

    /** Work reached a tile server that is cold: what counts against the rule on cold starts. */
    record Pressed(long t, int proxy, String server, long workUs) implements Seen { }

    /** What a tile server is from now on. */
    enum State { UP, COLD, WARM, DRAINING, DOWN, FALLEN }

    /** A tile server changed. */
    record ServerIs(long t, String server, State state) implements Seen { }

    /**
     * A proxy called discovery, or its call ended; a watch lasts from one to the other.
     *
     * @param call a number of its own
     * @param failed whether it ended with something other than a list
     */
    record Called(long t, int proxy, long call, boolean ended, boolean failed) implements Seen { }

    /** A call that waits fell silent: it stays open and gets nothing any more. {@code waitEndsUs} is when its wait should be over. */
    record Silent(long t, int proxy, long call, long waitEndsUs) implements Seen { }

    /** A line of the list as a proxy was told it; {@code startedMs} in Unix time, 0 for long ago. */
    record Line(String id, String state, long startedMs) { }

    /** Discovery wrote news to a proxy. */
    record Told(long t, int proxy, int version, boolean full, List<Line> lines) implements Seen { }

    /** The list changed, whoever was told. */
    record Listed(long t, int version, String server, String state) implements Seen { }

    /** What was done to a proxy, or what it did. */
    enum Life { STARTED, READY, ADMITTED, DROPPED, KILLED, TERMINATED, STOPPED, CONTINUED, ENDED }

    /** A proxy changed; {@code detail} is its exit status and last words where it ended. */
    record ProxyIs(long t, int proxy, Life life, String detail) implements Seen { }

    /** A fault began or ended. {@code whom} are proxies or servers by the words of the act. */
    record FaultIs(long t, int number, String act, boolean ended, List<Integer> whom) implements Seen { }

    /** What a peer that does not behave got: an error, a close, an answer as if it had run, or nothing. */
    enum Got { ERROR, CLOSE, SERVED, NOTHING, UNREACHED }

    /** A peer was done. */
    record PeerIs(long t, int proxy, long sinceUs, boolean silent, Got got) implements Seen { }

    /** A line was written to a proxy's door. {@code call} is a number of its own. */
    record DoorCalled(long t, long call, int proxy, String line) implements Seen { }

    /** A call at a door ended: with the line that came, or with {@code whole} false and why none did. */
    record DoorAnswered(long t, long call, int proxy, boolean whole, String line) implements Seen { }

    /** A member's new life finds nothing of the copy that its former lives held. */
    record CopyGone(long t, int proxy) implements Seen { }

    /** A process beside the proxies changed, as {@link ProxyIs} has it for those; {@code process} is its name. */
    record SideIs(long t, String process, Life life, String detail) implements Seen { }

    /** What a process beside the proxies had used by now, since it was started. */
    record SideUsed(long t, String process, long cpuMs, long memoryKb, int descriptors) implements Seen { }

    /** A line, an object, that a process beside the proxies has written on its standard output by now. */
    record Said(long t, String process, String line) implements Seen { }

    /** What a proxy had used by now. */
    record Used(long t, int proxy, long cpuMs, long memoryKb, int descriptors) implements Seen { }

    /**
     * What a tile server had done by now; all but {@code open} are sums of all machines that stood there.
     *
     * @param servedUs the work of the machine there now, on a standard core
     */
    record Sampled(long t, String server, long servedUs, int inHand, int open, long accepted, long probes) implements Seen { }

    /** Parts of the lab with threads of their own; discovery is with the first loop of the servers. */
    enum Part { SERVERS, CLIENTS, PLAY }

    /**
     * A thread of the lab did nothing from one moment to {@code t}, though something was due.
     *
     * @param number of the loop among its part's; it has those servers, or proxies' clients, whose number leaves it as the rest
     * @param of how many loops the part has
     */
    record Held(long t, long fromUs, Part part, int number, int of) implements Seen { }

    /**
     * The play ended. Without it the ledger was cut off.
     *
     * @param whole whether all was played; not so after an interrupt
     * @param lateP99Us between due and sent, the generator's own
     * @param machineP99Us how late a thread wakes up that does nothing else
     * @param heldUs the longest that a loop of the lab was held up
     */
    record Finished(long t, boolean whole, long lateP99Us, long machineP99Us, long heldUs, long labCpuMs) implements Seen { }
}

package walkpost.fleet.shell;

import java.nio.charset.StandardCharsets;
import walkpost.fleet.copy.ShardMessage;
import walkpost.fleet.member.Address;
import walkpost.fleet.member.Life;
import walkpost.fleet.member.MemberMessage;
import walkpost.fleet.observe.ObserveMessage;

/** Messages as the shell puts them on the wire, for simulations in other packages that count them. */
public final class Wire {
    /** Bytes; what is longer goes over a connection. */
    public static final int MOST_DATAGRAM = Transport.MOST_DATAGRAM;
    /** Bytes of length before each message on a connection. */
    public static final int FRAME = Frames.LENGTH;
    /** Connections that a member takes, and those that it makes, at the most. */
    public static final int MOST_INBOUND = Transport.MOST_INBOUND;
    public static final int MOST_OUTBOUND = Transport.MOST_OUTBOUND;
    /** Microseconds after which a connection without use is closed by who made it. */
    public static final long IDLE_US = Link.IDLE_S * 1_000_000L;

    private final String cluster;
    private final int shards;
    private final Codec codec;

    public Wire(String cluster, int shards) {
        this.cluster = cluster;
        this.shards = shards;
        codec = new Codec(cluster, shards, new Secret("a secret of a simulated fleet".getBytes(StandardCharsets.UTF_8)), new Counters());
    }

    public byte[] encode(Life from, Address at, MemberMessage message) {
        return codec.encode(Envelope.of(message, cluster, from, at, shards));
    }

    public byte[] encode(Life from, Address at, int shard, ShardMessage message) {
        return codec.encode(Envelope.of(message, shard, cluster, from, at, shards));
    }

    public byte[] encode(Life from, Address at, ObserveMessage message) {
        return codec.encode(Envelope.of(message, cluster, from, at, shards));
    }

    /** Returns whether a message is understood as its receiver would understand it. */
    public boolean decodes(byte[] message) {
        return codec.decode(message) != null;
    }
}

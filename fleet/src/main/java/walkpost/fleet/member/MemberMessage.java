package walkpost.fleet.member;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * What members say to each other about who lives. Unknown fields are passed over. But for {@link Sync} and its list each fits into one
 * datagram: under 1,200 bytes of CBOR.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
        @JsonSubTypes.Type(value = MemberMessage.Ping.class, name = "ping"),
        @JsonSubTypes.Type(value = MemberMessage.PingRequest.class, name = "ask"),
        @JsonSubTypes.Type(value = MemberMessage.Ack.class, name = "ack"),
        @JsonSubTypes.Type(value = MemberMessage.Nack.class, name = "nack"),
        @JsonSubTypes.Type(value = MemberMessage.Tell.class, name = "tell"),
        @JsonSubTypes.Type(value = MemberMessage.Check.class, name = "check"),
        @JsonSubTypes.Type(value = MemberMessage.Sync.class, name = "sync"),
        @JsonSubTypes.Type(value = MemberMessage.Farewell.class, name = "bye")})
public sealed interface MemberMessage {
    /** Returns who speaks, in its present life. */
    Life sender();

    /** Returns where the sender is reached: what a socket shows may be another address. */
    Address at();

    /** Returns what rides along. */
    List<News> news();

    /**
     * Are you alive?
     *
     * @param seq comes back with the acknowledgement
     * @param to whom it is meant for: another process may have the address by now
     */
    record Ping(long seq, String to, Life sender, Address at, List<News> news) implements MemberMessage {
        public Ping {
            news = listed(news);
        }
    }

    /** Ping that one for me: I have had no answer. */
    record PingRequest(long seq, String target, Address where, Life sender, Address at, List<News> news) implements MemberMessage {
        public PingRequest {
            news = listed(news);
        }
    }

    /** That one is alive: the sender itself, or one that it pinged on the receiver's behalf. */
    record Ack(long seq, String of, Life sender, Address at, List<News> news) implements MemberMessage {
        public Ack {
            news = listed(news);
        }
    }

    /** I live, but have no answer either, so far. */
    record Nack(long seq, Life sender, Address at, List<News> news) implements MemberMessage {
        public Nack {
            news = listed(news);
        }
    }

    /** Nothing but news: pings get rare where a member trusts itself less, and then who is suspected must be heard all the same. */
    record Tell(Life sender, Address at, List<News> news) implements MemberMessage {
        public Tell {
            news = listed(news);
        }
    }

    /**
     * Do you hold the same as I do? Says nothing of whom, and is answered by a {@link Sync} of what differs, or not at all.
     *
     * @param digests of of those that the sender holds to live, itself among them, in {@link Digest#BUCKETS} buckets by name
     */
    record Check(List<Integer> digests, Life sender, Address at, List<News> news) implements MemberMessage {
        public Check {
            digests = List.copyOf(digests);
            news = listed(news);
        }
    }

    /**
     * All that the sender knows, or all of it in some buckets; to be answered in kind unless it is an answer. Goes over a connection.
     *
     * @param buckets those that it is about, see {@link Digest}; null for all, as earlier versions of the program have it
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record Sync(boolean answer, Life sender, Address at, List<News> news, List<Integer> buckets) implements MemberMessage {
        public Sync {
            news = listed(news);
            buckets = buckets == null ? null : List.copyOf(buckets);
        }

        /** All that the sender knows. */
        public Sync(boolean answer, Life sender, Address at, List<News> news) {
            this(answer, sender, at, news, null);
        }
    }

    /** I go. */
    record Farewell(Life sender, Address at, List<News> news) implements MemberMessage {
        public Farewell {
            news = listed(news);
        }
    }

    private static List<News> listed(List<News> news) {
        return news == null ? List.of() : List.copyOf(news);
    }
}

package walkpost.fleet.member;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * The messages of the membership protocol. Receivers ignore unknown fields. Each message except {@link Sync} fits into one datagram: it
 * takes less than 1,200 bytes of CBOR.
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
    /** Returns the sender's name and current incarnation. */
    Life sender();

    /** Returns the address at which the sender is reached. The source address that a socket reports may differ from it. */
    Address at();

    /** Returns the news that are piggybacked on this message. */
    List<News> news();

    /**
     * Asks the receiver for an {@link Ack}.
     *
     * @param seq the sequence number that the acknowledgement repeats
     * @param to the name of the intended receiver, because another process may have taken over its address
     */
    record Ping(long seq, String to, Life sender, Address at, List<News> news) implements MemberMessage {
        public Ping {
            news = copyOrEmpty(news);
        }
    }

    /** Asks the receiver to ping a target that has not acknowledged the sender's own ping. */
    record PingRequest(long seq, String target, Address where, Life sender, Address at, List<News> news) implements MemberMessage {
        public PingRequest {
            news = copyOrEmpty(news);
        }
    }

    /** Acknowledges a ping. The member {@code of} is the sender itself or a target that it pinged on the receiver's behalf. */
    record Ack(long seq, String of, Life sender, Address at, List<News> news) implements MemberMessage {
        public Ack {
            news = copyOrEmpty(news);
        }
    }

    /** Tells the sender of a {@link PingRequest} that the target has not acknowledged so far. */
    record Nack(long seq, Life sender, Address at, List<News> news) implements MemberMessage {
        public Nack {
            news = copyOrEmpty(news);
        }
    }

    /**
     * Carries news only. A member with a poor local health score pings rarely, and a suspected member's refutation must spread all the
     * same.
     */
    record Tell(Life sender, Address at, List<News> news) implements MemberMessage {
        public Tell {
            news = copyOrEmpty(news);
        }
    }

    /**
     * Offers digests of the sender's state for comparison. The receiver answers with a {@link Sync} of the buckets that differ, or not at
     * all if none differs or if it limits the rate of large answers.
     *
     * @param digests the digests of the members that the sender holds to be living, itself included, in {@link Digest#BUCKETS} buckets
     *     by name
     */
    record Check(List<Integer> digests, Life sender, Address at, List<News> news) implements MemberMessage {
        public Check {
            digests = List.copyOf(digests);
            news = copyOrEmpty(news);
        }
    }

    /**
     * Carries the sender's full state or its state of some buckets. The receiver answers with its own state of the same buckets, unless
     * this message is itself an answer. Sent over a connection.
     *
     * @param buckets the buckets that it covers, see {@link Digest}; null means all, as earlier versions of the program send it
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record Sync(boolean answer, Life sender, Address at, List<News> news, List<Integer> buckets) implements MemberMessage {
        public Sync {
            news = copyOrEmpty(news);
            buckets = buckets == null ? null : List.copyOf(buckets);
        }

        /** Creates a message that covers all buckets. */
        public Sync(boolean answer, Life sender, Address at, List<News> news) {
            this(answer, sender, at, news, null);
        }
    }

    /** Announces that the sender leaves the fleet. */
    record Farewell(Life sender, Address at, List<News> news) implements MemberMessage {
        public Farewell {
            news = copyOrEmpty(news);
        }
    }

    private static List<News> copyOrEmpty(List<News> news) {
        return news == null ? List.of() : List.copyOf(news);
    }
}

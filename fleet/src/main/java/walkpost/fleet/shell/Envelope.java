package walkpost.fleet.shell;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Objects;
import java.util.stream.Stream;
import walkpost.fleet.copy.ShardMessage;
import walkpost.fleet.member.Address;
import walkpost.fleet.member.Life;
import walkpost.fleet.member.MemberMessage;
import walkpost.fleet.observe.ObserveMessage;

/**
 * What goes over the wire, whole and authentic; one of {@code member}, {@code copy} and {@code observe} is there.
 *
 * @param cluster the sender's; messages of another one are dropped
 * @param from the sender, in the life that it is in
 * @param at where the sender is to be reached, which need not be where the message came from
 * @param shard the sender's, where it is a message of a shard's; 0 otherwise
 * @param shards how many the sender has; with another number keys would lie in other shards
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record Envelope(String cluster, Life from, Address at, int shard, int shards, MemberMessage member, ShardMessage copy,
        ObserveMessage observe) {
    static Envelope of(MemberMessage message, String cluster, Life from, Address at, int shards) {
        return new Envelope(cluster, from, at, 0, shards, message, null, null);
    }

    static Envelope of(ShardMessage message, int shard, String cluster, Life from, Address at, int shards) {
        return new Envelope(cluster, from, at, shard, shards, null, message, null);
    }

    static Envelope of(ObserveMessage message, String cluster, Life from, Address at, int shards) {
        return new Envelope(cluster, from, at, 0, shards, null, null, message);
    }

    /** Returns whether all is there that a message needs to have a meaning. */
    boolean complete() {
        return cluster != null && from != null && from.name() != null && Fields.isName(from.name()) && from.incarnation() >= 0
                && at != null && at.host() != null && at.port() > 0 && at.port() <= 65_535 && shard >= 0 && shard < shards
                && Stream.of(member, copy, observe).filter(Objects::nonNull).count() == 1;
    }
}

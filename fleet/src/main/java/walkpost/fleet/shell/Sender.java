package walkpost.fleet.shell;

import walkpost.fleet.copy.ShardMessage;
import walkpost.fleet.member.Address;
import walkpost.fleet.member.Member;
import walkpost.fleet.member.MemberMessage;
import walkpost.fleet.observe.ObserveMessage;

/** Makes bytes of what this member says, and sends them to members by name. Any thread may call. */
final class Sender {
    private final FleetFile file;
    private final Counters counters;
    private final Codec codec;
    private final Transport transport;
    private final Address address;
    private MemberLane members;

    Sender(FleetFile file, Counters counters, Codec codec, Transport transport, Address address) {
        this.file = file;
        this.counters = counters;
        this.codec = codec;
        this.transport = transport;
        this.address = address;
    }

    /** Takes who knows the members; before anything is sent. */
    void knows(MemberLane lane) {
        members = lane;
    }

    /** Returns how many members are known. */
    int members() {
        return members.members().size();
    }

    /** Returns a message of the membership as bytes, or null where it can't be written. */
    byte[] encoded(MemberMessage message) {
        return encoded(Envelope.of(message, file.cluster(), members.self(), address, file.shards()));
    }

    /** Sends a message of a shard's to the same shard of a member; it may get lost. */
    void send(int shard, String to, ShardMessage message) {
        send(to, Envelope.of(message, shard, file.cluster(), members.self(), address, file.shards()));
    }

    /** Sends a message between a voter and another member; it may get lost. */
    void send(String to, ObserveMessage message) {
        send(to, Envelope.of(message, file.cluster(), members.self(), address, file.shards()));
    }

    private void send(String to, Envelope envelope) {
        Member member = members.known(to);
        if (member == null) {
            counters.dropped("unknown_member");
            return;
        }
        byte[] bytes = encoded(envelope);
        if (bytes != null) {
            transport.send(member.address(), bytes, false);
        }
    }

    private byte[] encoded(Envelope envelope) {
        try {
            return codec.encode(envelope);
        } catch (IllegalArgumentException e) {
            counters.add("failures", 1);
            Log.failure("message_not_written", e);
            return null;
        }
    }
}

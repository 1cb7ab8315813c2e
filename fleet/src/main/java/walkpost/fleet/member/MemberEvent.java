package walkpost.fleet.member;

/** Something that happened to a member. */
public sealed interface MemberEvent {
    /** Time has passed; comes some 20 times a second. A gap tells that the process stood still. */
    record Tick() implements MemberEvent { }

    /** A message has come, authentic, from this address. */
    record Received(Address from, MemberMessage message) implements MemberEvent { }

    /** The process is about to end of its own will: the others are told. */
    record Leave() implements MemberEvent { }
}

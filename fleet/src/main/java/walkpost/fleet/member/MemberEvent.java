package walkpost.fleet.member;

/** An input of a {@link Membership}. */
public sealed interface MemberEvent {
    /** Time has passed. The owner sends this event about 20 times a second; a gap shows that the process was paused. */
    record Tick() implements MemberEvent { }

    /** An authenticated message has arrived from this address. */
    record Received(Address from, MemberMessage message) implements MemberEvent { }

    /** The process is about to shut down, so that this member must announce its departure. */
    record Leave() implements MemberEvent { }
}

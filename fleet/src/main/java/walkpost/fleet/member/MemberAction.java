package walkpost.fleet.member;

/** Something the owner of a {@link Membership} is to do. */
public sealed interface MemberAction {
    /** Send a message: by datagram, it may get lost, or, where it is {@code large}, over a connection. */
    record SendTo(Address to, MemberMessage message, boolean large) implements MemberAction { }

    /** What is held of a member is this from now on, this member's own incarnation included. */
    record Changed(Member member) implements MemberAction { }
}

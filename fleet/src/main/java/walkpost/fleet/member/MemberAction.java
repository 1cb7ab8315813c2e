package walkpost.fleet.member;

/** An action that the owner of a {@link Membership} must carry out. */
public sealed interface MemberAction {
    /** Sends a message: over a connection if it is {@code large}, otherwise in a datagram, which may get lost. */
    record SendTo(Address to, MemberMessage message, boolean large) implements MemberAction { }

    /** Reports the new state of a member. This member's own changes, such as a new incarnation, are reported too. */
    record Changed(Member member) implements MemberAction { }
}

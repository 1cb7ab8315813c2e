package walkpost.fleet.member;

import java.util.function.Consumer;

/** The time of the event that is being handled and the consumer of its actions. Used only while that event is handled. */
record EventContext(long nowUs, Consumer<MemberAction> actions) {
    void publishChange(Member member) {
        actions.accept(new MemberAction.Changed(member));
    }

    void sendDatagram(Address to, MemberMessage message) {
        actions.accept(new MemberAction.SendTo(to, message, false));
    }

    void sendOverConnection(Address to, MemberMessage message) {
        actions.accept(new MemberAction.SendTo(to, message, true));
    }
}

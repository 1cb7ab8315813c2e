package walkpost.fleet.member;

import java.util.function.Consumer;

/** One event's time, and where its actions go. Lives as long as the event is handled. */
record Turn(long nowUs, Consumer<MemberAction> actions) {
    void changed(Member member) {
        actions.accept(new MemberAction.Changed(member));
    }

    void datagram(Address to, MemberMessage message) {
        actions.accept(new MemberAction.SendTo(to, message, false));
    }

    void large(Address to, MemberMessage message) {
        actions.accept(new MemberAction.SendTo(to, message, true));
    }
}

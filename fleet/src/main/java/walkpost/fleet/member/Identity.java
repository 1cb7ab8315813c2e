package walkpost.fleet.member;

/**
 * This member itself, and what it does when others speak of it. A process that has taken its name elsewhere with a higher incarnation
 * is never outbid while it lives: two that outbid each other would flap for ever. Owned by one {@link Membership}.
 */
final class Identity {
    /** What a claim about this member calls for. */
    enum Reply { NOTHING, REFUTE, CONFLICT }

    private final Address at;
    private Life life;
    private boolean left;

    Identity(Life life, Address at) {
        if (!News.wellFormed(life, at) || life.incarnation() >= News.HIGHEST) {
            throw new IllegalArgumentException("no life to start with: " + life + " at " + at);
        }
        this.life = life;
        this.at = at;
    }

    Life life() {
        return life;
    }

    Address at() {
        return at;
    }

    String name() {
        return life.name();
    }

    Member member() {
        return new Member(life, at, left ? Standing.LEFT : Standing.ALIVE);
    }

    void leave() {
        left = true;
    }

    boolean hasLeft() {
        return left;
    }

    /**
     * Takes what somebody says of this name. To refute it is to take a higher incarnation; that is done when this returns
     * {@link Reply#REFUTE}, and the others are to be told. What was said of a former life at this address, or of another process that
     * is over, is outdone in the same way.
     */
    Reply hear(Member claim) {
        long said = claim.life().incarnation();
        boolean over = claim.standing() == Standing.DEAD || claim.standing() == Standing.LEFT;
        if (said < life.incarnation() || claim.equals(member())) {
            return Reply.NOTHING;
        }
        if (!claim.address().equals(at) && !over) {
            return Reply.CONFLICT;
        }
        if (said >= News.HIGHEST) {
            return Reply.NOTHING;
        }
        life = new Life(life.name(), said + 1);
        return Reply.REFUTE;
    }
}

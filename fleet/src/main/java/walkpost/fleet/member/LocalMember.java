package walkpost.fleet.member;

/**
 * This member's own name, incarnation and address, and its response to claims that other members make about it. It does not outbid
 * another live process that uses the same name with a higher incarnation: two processes that outbid each other would flap for ever.
 * Owned by one {@link Membership}; not thread-safe.
 */
final class LocalMember {
    /** How this member responds to a claim about itself. */
    enum Reply { NOTHING, REFUTE, CONFLICT }

    private final Address address;
    private Life life;
    private boolean left;

    LocalMember(Life life, Address address) {
        if (!News.isWellFormed(life, address) || life.incarnation() >= News.MAX_INCARNATION) {
            throw new IllegalArgumentException("cannot start member " + life + " at " + address
                    + ": name and host must have 1 to " + News.MAX_TEXT_BYTES + " bytes, the port must be within 1 and 65535, and the"
                    + " incarnation must be within 0 and " + (News.MAX_INCARNATION - 1));
        }
        this.life = life;
        this.address = address;
    }

    Life life() {
        return life;
    }

    Address address() {
        return address;
    }

    String name() {
        return life.name();
    }

    Member member() {
        return new Member(life, address, left ? Standing.LEFT : Standing.ALIVE);
    }

    void leave() {
        left = true;
    }

    boolean hasLeft() {
        return left;
    }

    /**
     * Responds to a claim about this member's name. {@link Reply#REFUTE} means that this member has taken an incarnation above the claimed
     * one and that the caller must publish it. Claims about an earlier life at this address, and claims that another process of this
     * name is dead or has left, are refuted in the same way.
     */
    Reply respondTo(Member claim) {
        long claimedIncarnation = claim.life().incarnation();
        boolean deadOrLeft = claim.standing() == Standing.DEAD || claim.standing() == Standing.LEFT;
        if (claimedIncarnation < life.incarnation() || claim.equals(member())) {
            return Reply.NOTHING;
        }
        if (!claim.address().equals(address) && !deadOrLeft) {
            return Reply.CONFLICT;
        }
        if (claimedIncarnation >= News.MAX_INCARNATION) {
            return Reply.NOTHING;
        }
        life = new Life(life.name(), claimedIncarnation + 1);
        return Reply.REFUTE;
    }
}

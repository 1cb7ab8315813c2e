package walkpost.proxy;

/**
 * Identifies the version of the list of servers that this proxy has, and decides whether a response replaces it. Immutable.
 *
 * <p>Version numbers rise while one discovery process runs. They can be compared only within one such epoch, because a discovery that
 * restarts, or one at another address, counts from a different number. A late response may contain a list that a newer one has replaced
 * meanwhile; applying it would bring a draining server back. So each call records the version at its start, and its response is compared
 * with that.
 *
 * @param epoch counts the discovery processes that this proxy has followed, each at one address
 * @param number discovery's number of the list that this proxy has; negative if it has none and must request the full list
 */
record ListVersion(int epoch, long number) {
    /** What to do with a response. */
    enum Verdict {
        /** Apply it: it is as new as the current list, or newer. */
        TAKE,
        /** Drop it: a newer list arrived while the call was open, or the call belongs to an earlier epoch. */
        OVERTAKEN,
        /** Apply it in a new epoch: it is older although no list arrived meanwhile, so discovery has restarted; this is its full list. */
        TAKE_ANEW,
        /** Request the full list: discovery has restarted, and the response contains changes to a list that this proxy does not have. */
        ASK_WHOLE
    }

    /** The version of a proxy without a list. */
    static final ListVersion NONE = new ListVersion(0, -1);

    /** Returns whether this proxy has a list. */
    boolean hasList() {
        return number >= 0;
    }

    /**
     * Compares a response with this version, the current one.
     *
     * @param atCallStart the version that was current when the call started
     * @param responseNumber the version number in the response
     * @param full whether the response contains the full list, not changes
     */
    Verdict judge(ListVersion atCallStart, long responseNumber, boolean full) {
        if (atCallStart.epoch != epoch) {
            return Verdict.OVERTAKEN;
        }
        if (responseNumber >= number) {
            return Verdict.TAKE;
        }
        if (atCallStart.number < number) {
            return Verdict.OVERTAKEN;
        }
        return full ? Verdict.TAKE_ANEW : Verdict.ASK_WHOLE;
    }

    /** Returns the version that is current after a response with this verdict. */
    ListVersion after(Verdict verdict, long responseNumber) {
        return switch (verdict) {
            case TAKE -> new ListVersion(epoch, responseNumber);
            case OVERTAKEN -> this;
            case TAKE_ANEW -> new ListVersion(epoch + 1, responseNumber);
            case ASK_WHOLE -> startEpoch();
        };
    }

    /**
     * Returns the version of a list that another process of this proxy got from the same discovery. A lower number shows that discovery has
     * restarted since this process got its number.
     */
    ListVersion adopt(long adoptedNumber) {
        return new ListVersion(adoptedNumber < number ? epoch + 1 : epoch, adoptedNumber);
    }

    /** Returns the version at the start of a new epoch, without a list, so that responses to earlier calls are dropped. */
    ListVersion startEpoch() {
        return new ListVersion(epoch + 1, -1);
    }
}

package walkpost.proxy;

/**
 * Which list is held: the rule for versions, and nothing else. Immutable.
 *
 * <p>Versions rise as long as one discovery lives. They can be compared only within such a life: one that has begun anew, or that
 * stands at another address, counts from elsewhere. A call that is answered late may bring a list that was overtaken meanwhile; taken,
 * it would give a draining backend back. So each call keeps what was held when it was made, and its answer is judged by that.
 *
 * @param life counts the lives of discovery that this proxy has followed, each at one address
 * @param number discovery's own number of the list that is held; below 0 where none is, and the whole list has to be asked for
 */
record ListVersion(int life, long number) {
    /** What becomes of an answer. */
    enum Verdict {
        /** It is as new as what is held, or newer. */
        TAKE,
        /** Something newer came while it was on its way, or it comes from an earlier life: what is held is better. */
        OVERTAKEN,
        /** Nothing came meanwhile, and yet it is older: discovery has begun anew, and this is its whole list. */
        TAKE_ANEW,
        /** The same, but these are changes to a list that this proxy has never had: the whole one has to be asked for. */
        ASK_WHOLE
    }

    /** Nothing is held yet. */
    static final ListVersion NONE = new ListVersion(0, -1);

    boolean held() {
        return number >= 0;
    }

    /**
     * Judges an answer by what is held now.
     *
     * @param asked what was held when the call was made
     * @param answer the version of the answer
     * @param full whether it is a whole list, and no changes
     */
    Verdict judge(ListVersion asked, long answer, boolean full) {
        if (asked.life != life) {
            return Verdict.OVERTAKEN;
        }
        if (answer >= number) {
            return Verdict.TAKE;
        }
        if (asked.number < number) {
            return Verdict.OVERTAKEN;
        }
        return full ? Verdict.TAKE_ANEW : Verdict.ASK_WHOLE;
    }

    /** Returns what is held after an answer so judged. */
    ListVersion after(Verdict verdict, long answer) {
        return switch (verdict) {
            case TAKE -> new ListVersion(life, answer);
            case OVERTAKEN -> this;
            case TAKE_ANEW -> new ListVersion(life + 1, answer);
            case ASK_WHOLE -> forgotten();
        };
    }

    /** Another life begins, of which nothing is held; whatever the one before has still to say does not count. */
    ListVersion forgotten() {
        return new ListVersion(life + 1, -1);
    }
}

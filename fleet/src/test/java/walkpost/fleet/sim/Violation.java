package walkpost.fleet.sim;

/** Something that must not be has been seen. */
final class Violation extends AssertionError {
    private static final long serialVersionUID = 1L;

    /** What must hold. */
    enum Rule {
        /** Copies that hear each other become equal. */
        MEET,
        /** An acknowledged order is held by a majority, and stands or has been replaced by a decided one. */
        KEPT,
        /** Only an order that a majority has promised is ever in force. */
        DECIDED,
        /** What a majority holds is not decided once more, under the same id. */
        ONCE,
        /** A refused order is nowhere in force. */
        REFUSED,
        /** No fact is acted on beyond its bound, or told younger than it is. */
        AGE,
        /** Only who has compared itself with a majority is level, and only who is level acts on orders, promises and confirms. */
        LEVEL,
        /** A member promises a version to one order at a time. */
        PROMISE,
        /** Equal heads are acted on equally, by the rule for rivals. */
        ACTING,
        /** What is over does not come back. */
        OVER,
        /** Who lives is known to live, and who is dead is not. */
        MEMBERS,
        /** A mended fleet takes orders. */
        SERVES
    }

    private final Rule rule;

    Violation(Rule rule, String what) {
        super(rule + ": " + what);
        this.rule = rule;
    }

    Rule rule() {
        return rule;
    }
}

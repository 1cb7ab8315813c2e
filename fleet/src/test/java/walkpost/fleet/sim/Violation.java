package walkpost.fleet.sim;

/** Reports that a simulated fleet has broken a rule. */
final class Violation extends AssertionError {
    private static final long serialVersionUID = 1L;

    /** The rules that every run must keep. */
    enum Rule {
        /** Replicas that can reach each other converge. */
        MEET,
        /** An acknowledged order is held by a majority, and is in force or has been replaced by a decided order. */
        KEPT,
        /** An order takes effect only if a majority has promised it. */
        DECIDED,
        /** An order that a majority holds is not decided again under the same id. */
        ONCE,
        /** A refused order is in force at no member. */
        REFUSED,
        /** No member acts on a stale entry, or reports an entry as younger than it is. */
        AGE,
        /** A member is caught up only after a comparison with a majority; only then does it act on orders, promise and confirm. */
        LEVEL,
        /** An acceptor promises a version to one order at a time. */
        PROMISE,
        /** Equal heads give the same order in effect, by the rule for rivals. */
        ACTING,
        /** A replaced order does not come back. */
        OVER,
        /** Members know which members are alive and which are dead. */
        MEMBERS,
        /** A fleet without faults accepts orders. */
        SERVES
    }

    private final Rule rule;

    Violation(Rule rule, String description) {
        super(rule + ": " + description);
        this.rule = rule;
    }

    Rule rule() {
        return rule;
    }
}

package walkpost.fleet;

import java.util.Collection;
import java.util.stream.Collectors;

/**
 * What can go wrong in the fleet's own part: what happened, to which member, order or field, and what an operator can do. The same
 * text stands at the door, in the log and, by the name of its type, in {@code docs/operations.md}.
 */
public abstract sealed class FleetException extends Exception {
    private static final long serialVersionUID = 1L;
    private final String remedy;

    private FleetException(String what, String remedy) {
        super(what + "; " + remedy, null, false, false);
        this.remedy = remedy;
    }

    /** Returns what happened, without what can be done. */
    public final String what() {
        String text = getMessage();
        return text.substring(0, text.length() - remedy.length() - 2);
    }

    /** Returns what an operator can do, in words. */
    public final String remedy() {
        return remedy;
    }

    /** The fleet's file is wrong. Nothing of it has been taken over. */
    public static final class BadFile extends FleetException {
        private static final long serialVersionUID = 1L;

        /** Names the file, the field ({@code line 3}, {@code members}, ...) and what was expected there. */
        public BadFile(String file, String field, String expected) {
            super(file + ": " + field + ": " + expected, "mend the file and start again");
        }
    }

    /** An address of the fleet's own could not be taken. */
    public static final class AddressTaken extends FleetException {
        private static final long serialVersionUID = 1L;

        /** Names the address and what the system said. */
        public AddressTaken(String address, String reason) {
            super("can't listen at " + address + " (" + reason + ")", "free the port or set another 'bind', on this member only");
        }
    }

    /** The directory can't be read or written, or is not this member's. */
    public static final class BadDirectory extends FleetException {
        private static final long serialVersionUID = 1L;

        /** Names the directory or file in it, and what is wrong with it. */
        public BadDirectory(String path, String reason) {
            super(path + ": " + reason, "free space, mend its rights, or give this member an empty directory: it catches up from the others");
        }
    }

    /** Fewer than a majority of the configured members hold an order. It is not in force and never will be by itself. */
    public static final class NoMajority extends FleetException {
        private static final long serialVersionUID = 1L;

        /** Names the order, how many of how many hold it, and who does not. */
        public NoMajority(String order, int held, int of, Collection<String> missing) {
            super(order + " is held by " + held + " of " + of + ", not by a majority; missing: " + list(missing),
                    "see to the members named, then give the order again");
        }
    }

    /** It is not known whether an order is decided, or whether a majority holds it: it may be in force soon, or after a heal. */
    public static final class Uncertain extends FleetException {
        private static final long serialVersionUID = 1L;

        /** Names the order and who has not confirmed it. */
        public Uncertain(String order, Collection<String> missing) {
            super(order + " may be decided: a majority has not confirmed it; not heard from: " + list(missing),
                    "send the same order again with the same id: it is carried out once, and answered when it stands");
        }
    }

    /** An order names a version that is no longer, or not yet, the one that stands. Nothing has changed. */
    public static final class Overtaken extends FleetException {
        private static final long serialVersionUID = 1L;

        /** Names the order, and what stands in place of what it was to replace. */
        public Overtaken(String order, String stands) {
            super(order + " replaces what no longer stands; now there is " + stands, "look at 'orders' and decide anew");
        }
    }

    /** Another order on the same thing is on its way. Nothing has changed. */
    public static final class Busy extends FleetException {
        private static final long serialVersionUID = 1L;
        private final boolean itself;

        /** Names the order and the other one. */
        public Busy(String order, String other) {
            super(order + " crosses " + other, "wait a second, look at 'orders' and decide anew");
            itself = order.equals(other);
        }

        /** Returns whether it is the same order on its way over another member. */
        public boolean itself() {
            return itself;
        }
    }

    /** This member's copy has not caught up: it neither acknowledges nor acts on orders. */
    public static final class NotLevel extends FleetException {
        private static final long serialVersionUID = 1L;

        /** Names the member and how many of the majority it has compared itself with. */
        public NotLevel(String member, int compared, int majority) {
            super(member + " has not caught up (" + compared + " of " + majority + " compared)",
                    "ask another member, or wait; if it stays so, look at 'fleet' for who is out of reach");
        }
    }

    /** A call that makes no sense: a word missing, a subject too long, a topic that is none. Nothing has changed. */
    public static final class BadCall extends FleetException {
        private static final long serialVersionUID = 1L;

        /** Says what is wrong with the call. */
        public BadCall(String why) {
            super(why, "see the calls in docs/operations.md");
        }
    }

    /** So many removals are remembered that no more orders can be taken. */
    public static final class Full extends FleetException {
        private static final long serialVersionUID = 1L;

        /** Names what is full and its bound. */
        public Full(String what, long bound) {
            super(what + ": no more than " + bound, "wait until removals are forgotten, or remove less often");
        }
    }

    /** A voter has refused what an observer handed on to it. The type is the one that it has there, its remedy as well. */
    public static final class FromVoter extends FleetException {
        private static final long serialVersionUID = 1L;

        /** Names the voter, the type of its reason, what happened there and what can be done. */
        public FromVoter(String voter, String type, String what, String remedy) {
            super(voter + " says " + type + ": " + what, remedy);
        }
    }

    /** No voter could be reached with an order, by an observer. Nothing has changed. */
    public static final class NoVoter extends FleetException {
        private static final long serialVersionUID = 1L;

        /** Names the order, the observer, and how long ago it last knew its copy to be the fleet's. */
        public NoVoter(String order, String observer, String age) {
            super(order + " reached no voter from " + observer + ", which last was sure of its copy " + age,
                    "ask a member that reaches a voter; see to the voters that 'fleet' does not show as alive");
        }
    }

    private static String list(Collection<String> names) {
        return names.stream().sorted().collect(Collectors.joining(", "));
    }
}

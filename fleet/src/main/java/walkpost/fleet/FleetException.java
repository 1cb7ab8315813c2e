package walkpost.fleet;

import java.util.Collection;
import java.util.stream.Collectors;

/**
 * An error of the fleet. Its message names the member, order or field concerned and ends with a remedy for the operator. The operator
 * endpoint and the log show the same text, and {@code docs/operations.md} lists each error by the simple name of its type, so that the
 * names of the nested types must not change.
 */
public abstract sealed class FleetException extends Exception {
    private static final long serialVersionUID = 1L;
    private final String remedy;

    private FleetException(String problem, String remedy) {
        super(problem + "; " + remedy, null, false, false);
        this.remedy = remedy;
    }

    /** Returns the description of the problem, without the remedy. */
    public final String problem() {
        String message = getMessage();
        return message.substring(0, message.length() - remedy.length() - 2);
    }

    /** Returns what an operator can do about the problem. */
    public final String remedy() {
        return remedy;
    }

    /** The fleet's configuration file is invalid. None of its settings have been applied. */
    public static final class BadFile extends FleetException {
        private static final long serialVersionUID = 1L;

        /** Names the file, the field ({@code members}) or place ({@code line 3}), and the value that was expected there. */
        public BadFile(String file, String field, String expected) {
            super(file + ": " + field + ": " + expected, "mend the file and start again");
        }
    }

    /** The member could not bind its own address. */
    public static final class AddressTaken extends FleetException {
        private static final long serialVersionUID = 1L;

        /** Names the address and the reason that the operating system gave. */
        public AddressTaken(String address, String reason) {
            super("can't listen at " + address + " (" + reason + ")", "free the port or set another 'bind', on this member only");
        }
    }

    /** The directory cannot be read or written, or belongs to another member. */
    public static final class BadDirectory extends FleetException {
        private static final long serialVersionUID = 1L;

        /** Names the directory, or the file in it, and the reason. */
        public BadDirectory(String path, String reason) {
            super(path + ": " + reason,
                    "free space, mend its rights, or give this member an empty directory: it catches up from the others");
        }
    }

    /** Fewer than a majority of the configured members promised an order. It is not in force, and only giving it again can change that. */
    public static final class NoMajority extends FleetException {
        private static final long serialVersionUID = 1L;

        /** Names the order, how many of the configured members hold it, and the members that do not. */
        public NoMajority(String order, int holders, int configured, Collection<String> missing) {
            super(order + " is held by " + holders + " of " + configured + ", not by a majority; missing: " + list(missing),
                    "see to the members named, then give the order again");
        }
    }

    /** It is unknown whether an order is decided, or whether a majority holds it: it may come into force now or after a partition heals. */
    public static final class Uncertain extends FleetException {
        private static final long serialVersionUID = 1L;

        /** Names the order and the members that have not confirmed it. */
        public Uncertain(String order, Collection<String> missing) {
            super(order + " may be decided: a majority has not confirmed it; not heard from: " + list(missing),
                    "send the same order again with the same id: it is carried out once, and answered when it stands");
        }
    }

    /** An order is to replace an order that is no longer, or not yet, in force. Nothing has changed. */
    public static final class Overtaken extends FleetException {
        private static final long serialVersionUID = 1L;

        /** Names the order, and what is in force instead of the order that it was to replace. */
        public Overtaken(String order, String inForce) {
            super(order + " replaces what no longer stands; now there is " + inForce, "look at 'orders' and decide anew");
        }
    }

    /** Another order on the same key is being decided. Nothing has changed. */
    public static final class Busy extends FleetException {
        private static final long serialVersionUID = 1L;
        private final boolean sameOrder;

        /** Names the order and the other order that is being decided. */
        public Busy(String order, String other) {
            super(order + " crosses " + other, "wait a second, look at 'orders' and decide anew");
            sameOrder = order.equals(other);
        }

        /** Returns whether the other order is the same one, given to another member as well. */
        public boolean isSameOrder() {
            return sameOrder;
        }
    }

    /** This member's replica has not caught up, so that the member neither acknowledges orders nor acts on new ones. */
    public static final class NotLevel extends FleetException {
        private static final long serialVersionUID = 1L;

        /** Names the member, and how many replicas of the majority it has compared its own with. */
        public NotLevel(String member, int compared, int majority) {
            super(member + " has not caught up (" + compared + " of " + majority + " compared)",
                    "ask another member, or wait; if it stays so, look at 'fleet' for who is out of reach");
        }
    }

    /** An invalid call: a missing argument, a subject that is too long, an unknown topic. Nothing has changed. */
    public static final class BadCall extends FleetException {
        private static final long serialVersionUID = 1L;

        /** Describes what is wrong with the call. */
        public BadCall(String problem) {
            super(problem, "see the calls in docs/operations.md");
        }
    }

    /** A bounded resource is used up, such as the memory of removed keys or the orders under way at a voter. The order is refused. */
    public static final class Full extends FleetException {
        private static final long serialVersionUID = 1L;

        /** Names the resource and its bound. */
        public Full(String resource, long bound) {
            super(resource + ": no more than " + bound, "wait until removals are forgotten, or remove less often");
        }
    }

    /** A voter has refused an order that an observer forwarded to it. The type and the remedy are those of the voter's error. */
    public static final class FromVoter extends FleetException {
        private static final long serialVersionUID = 1L;

        /** Names the voter, and the type, problem and remedy of the error there. */
        public FromVoter(String voter, String type, String problem, String remedy) {
            super(voter + " says " + type + ": " + problem, remedy);
        }
    }

    /** An observer could not reach any voter with an order. Nothing has changed. */
    public static final class NoVoter extends FleetException {
        private static final long serialVersionUID = 1L;

        /** Names the order, the observer, and when its copy was last known to equal a voter's. */
        public NoVoter(String order, String observer, String age) {
            super(order + " reached no voter from " + observer + ", which last was sure of its copy " + age,
                    "ask a member that reaches a voter; see to the voters that 'fleet' does not show as alive");
        }
    }

    private static String list(Collection<String> names) {
        return names.stream().sorted().collect(Collectors.joining(", "));
    }
}

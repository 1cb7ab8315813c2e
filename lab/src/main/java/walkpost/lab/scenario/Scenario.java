package walkpost.lab.scenario;

import java.util.List;

/**
 * One experiment, as its file has it: fleet, load, faults and expectations. All durations are in microseconds, all
 * sizes in bytes, all shares from 0 to 1.
 *
 * @param name one word
 * @param about what the experiment is to show
 * @param lengthUs from the first arrival to the last
 * @param bounds what the proxies are told that they may do
 * @param rules the figures of the rules, told to the proxies and held against them
 */
public record Scenario(String name, String about, long lengthUs, Fleet fleet, List<Kind> kinds, List<RequestClass> classes,
        List<Tenant> tenants, Load load, Clients clients, Front front, Discovery discovery, Network network,
        Bounds bounds, Rules rules, List<Fault> faults, Peers peers, Expect expect) {

    /**
     * The proxies.
     *
     * @param zones proxies and servers are dealt out to the zones in turn
     * @param memory what a proxy is told to get by with
     * @param sockets how many descriptors it is told to get by with
     * @param cores the part of a core it is told to have
     * @param heap what its virtual machine may take for objects; 0 for what it is deployed with
     * @param members what they are told where they are members of each other; null where they are not
     */
    public record Fleet(int proxies, List<String> zones, long memory, int sockets, double cores, long heap, Members members) { }

    /**
     * A kind of tile server.
     *
     * @param speed of a core, drawn for each server; 1 is the standard core
     * @param slots how many requests are in work at once
     * @param room how many more wait
     * @param connections how many it holds; beyond that it turns away
     * @param handshakeUs the work that a new connection costs it
     * @param probeUs the work that a probe costs it
     * @param idleUs a connection that has stood idle for so long is closed
     * @param coldFrom the part of its capacity that it has at its start
     * @param coldUs the time until it is warm
     * @param errors the share of requests that it fails without any trouble
     * @param cancel what becomes of work whose proxy has gone
     */
    public record Kind(String name, int count, int cores, Range speed, int slots, int room, int connections,
            long handshakeUs, long probeUs, long idleUs, double coldFrom, long coldUs, double errors, Cancel cancel) { }

    /** What becomes of work whose proxy has gone: nothing changes, or what still waits is dropped. */
    public enum Cancel { NONE, QUEUED }

    /** What a request may have done when it is sent twice. */
    public enum Effect { SAFE, KEYED, UNSAFE }

    /**
     * A class of requests.
     *
     * @param share of all requests, in proportion to the other classes' shares
     * @param work the mean work on a standard core, drawn for each play
     * @param waits the mean wait on others, drawn for each play
     * @param variation the coefficient of variation of a single request's work
     * @param aimUs an answer within it earns the worth; a later one earns nothing
     * @param deadlineUs a client waits so long at most
     * @param windowUs a keyed repeat is dropped for so long
     * @param body the size of an answer
     */
    public record RequestClass(String name, double share, Range work, Range waits, double variation, long aimUs,
            long deadlineUs, double worth, Effect effect, long windowUs, int body) { }

    /** A tenant, its share of the requests, and how many a second it is entitled to. */
    public record Tenant(String name, double share, double allowance) { }

    /**
     * How requests arrive.
     *
     * @param rate a second, over all proxies
     * @param burst how many arrive together on average; 1 is a Poisson process
     * @param swing the rate goes up and down by this part of itself
     * @param swingUs the time from crest to crest
     * @param rampUs the rate rises evenly for so long: a fleet all of whose code is cold takes many times the CPU
     */
    public record Load(double rate, double burst, double swing, long swingUs, long rampUs) { }

    /**
     * How clients behave.
     *
     * @param retries how often a failed request is tried again at most
     * @param patience the part of the deadline that a try is given, drawn for each play
     * @param backoffUs the mean wait before the next try
     * @param obey the share of clients that wait as long as they are told to
     * @param mark whether tries after the first are marked
     * @param hint the relative error of the cost that a request is said to have; below 0 none is said
     */
    public record Clients(int retries, Range patience, long backoffUs, double obey, boolean mark, double hint) { }

    /** The front: how often it asks who is ready, and how long it takes to notice a death. */
    public record Front(long pollUs, long noticeUs) { }

    /**
     * Discovery.
     *
     * @param noticeUs how late it tells that a server has gone
     * @param addUs how late it tells that one has come
     * @param callUs how long one call takes it; calls are taken in turn
     * @param entryUs how much longer for each entry told
     * @param timeoutUs a call that has waited longer fails
     * @param odd whether lists are odd but legal: entries in another order, repeated, with fields that nobody knows
     * @param pushed whether an agent on each proxy's machine has the list, and nobody waits in turn
     */
    public record Discovery(long noticeUs, long addUs, long callUs, long entryUs, long timeoutUs, boolean odd, boolean pushed) { }

    /** What lies between any two parties: the time one way, and how far it varies, evenly. */
    public record Network(long latencyUs, long jitterUs, long clientUs) { }

    /** What proxies are told that they may do. */
    public record Bounds(boolean cancel, boolean duplicates, boolean probes, int tries, long retryAfterUs, long connectUs) { }

    /** The figures of the rules. */
    public record Rules(double coldFrom, long coldUs, double fallMultiple, long fallUs, long askUs, long drainUs) { }

    /** What a fault does. */
    public enum Act {
        /** SIGKILL to proxies; they start again after {@code back}. */
        KILL,
        /** SIGTERM to proxies, SIGKILL once their time is up; they start again after {@code back}. */
        TERM,
        /** SIGSTOP to proxies for {@code length}. */
        STOP,
        /** SIGHUP to proxies, their configuration unchanged. */
        HUP,
        /** Nothing passes between proxies and the parties that the fault names, for {@code length}. */
        ISOLATE,
        /** Nothing passes between groups of proxies that are members of each other, for {@code length}. */
        PART,
        /** Ways between proxies that are members of each other are bad for {@code length}. */
        LINK,
        /** Servers work {@code size} times slower for {@code length}. */
        SLOW,
        /** Servers fail a {@code size} of their requests at once, for {@code length}. */
        ERRORS,
        /** A {@code size} of a class's requests cost {@code times} the work for {@code length}. */
        HEAVY,
        /** Nothing passes between servers and all proxies for {@code length}. */
        CUT,
        /** Nothing passes from servers to proxies for {@code length}, but all the other way. */
        MUTE,
        /** Connections to servers are reset, {@code size} of them a second for {@code length}. */
        RESET,
        /** Servers drain; after {@code length} they are gone, and after {@code back} new ones stand at their addresses. */
        DRAIN,
        /** Servers restart: they are down for {@code length} and come back cold, under their names. */
        RESTART,
        /** Servers that were not there before come, cold. */
        JOIN,
        /** Discovery answers nobody for {@code length}, or, silent, leaves all waiting calls open and unanswered. */
        DISCOVERY,
        /** The rate is {@code times} what it was, for {@code length}. */
        BURST,
        /** The lab's own loops do nothing for {@code length}: proof that its checker is not misled by that. */
        HOLD;

        /** Returns whether it hits proxies, or what is between them. */
        public boolean hitsProxies() {
            return switch (this) {
                case KILL, TERM, STOP, HUP, ISOLATE, PART, LINK -> true;
                default -> false;
            };
        }
    }

    /** Which processes a fault hits: proxies, or those that vote, or hold hollow members, beside them. */
    public enum Whom { PROXIES, VOTERS, HOLLOW }

    /** Whom a proxy can be cut off from; the front is where clients are. */
    public enum Party { SERVERS, DISCOVERY, CLIENTS }

    /**
     * When a fault begins: at a time from the first arrival, or once a proxy has answered so many requests.
     *
     * @param atUs below 0 where an event is waited for
     */
    public record When(long atUs, int proxy, long answered) { }

    /**
     * Whom a fault hits: those listed, or else a share of all, drawn.
     *
     * @param share 0 where {@code listed} says whom
     */
    public record Target(double share, List<Integer> listed) { }

    /**
     * A fault.
     *
     * @param backUs below 0 where nothing comes back
     * @param stepUs between one target and the next
     * @param from whom proxies are cut off from
     * @param other whether proxies come back as the play's other program
     * @param keep whether proxies that come back find their directory of orders
     * @param between what it does between members; null where it does nothing there
     * @param silent whether discovery only leaves calls that wait without an answer
     * @param whom which processes it hits, where it hits any
     */
    public record Fault(Act act, When when, Target target, long lengthUs, long backUs, long stepUs, double size, double times,
            String requestClass, List<Party> from, boolean other, boolean keep, Between between, boolean silent, Whom whom) { }

    /** Peers that don't behave: how many a second send nothing, and how many send what is no request. */
    public record Peers(double silent, double improper) { }

    /**
     * What is expected of a right program, beyond that no rule is broken.
     *
     * @param g the least G
     * @param served the least share of requests served in time
     * @param lastServed the same of the last quarter, when all faults should be over
     */
    public record Expect(double g, double served, double lastServed) { }

    /** Returns whether a fault brings another program in. */
    public boolean bringsOther() {
        return faults.stream().anyMatch(Fault::other);
    }

    /** Returns how many processes there are of a kind. */
    public int count(Whom whom) {
        return MembersReader.count(whom, fleet);
    }

    /** Returns how many processes there are in all. */
    public int processes() {
        return count(Whom.PROXIES) + count(Whom.VOTERS) + count(Whom.HOLLOW);
    }

    /** Returns how many servers there are at the start. */
    public int servers() {
        return kinds.stream().mapToInt(Kind::count).sum();
    }
}

package walkpost;

import java.util.List;
import java.util.function.Consumer;

/**
 * The interface of the decision module: it is created from settings, then takes events and returns actions.
 *
 * <p>One instance serves one proxy and is used by one thread. It has no clock and does no I/O: each event comes with
 * the proxy's time in microseconds, which never goes back. Equal settings, seed and events give equal actions. The
 * proxy carries the actions out in the order given. All durations are in microseconds. A backend is a server behind the proxy.
 */
public interface Balancer {

    /**
     * Whether a request may be sent twice: {@code SAFE} is idempotent, {@code KEYED} has a key by which a group of backends discards
     * repeats, and {@code UNSAFE} must run at most once.
     */
    enum Effect { SAFE, KEYED, UNSAFE }

    /** The group of backends that share the deduplication of {@link Effect#KEYED} requests. */
    enum Scope { ALL, ZONE, CELL }

    /** The state of a backend by the server list. */
    enum BackendState { READY, DRAINING, GONE }

    /** What a list update contains: changes, a full list, the list stored before a restart, or nothing because the call failed. */
    enum ListKind { DELTA, FULL, CACHED, FAILED }

    /** How an attempt ended. */
    enum Outcome {
        OK(false), ERROR(false), FULL(true), TIMEOUT(false), CONNECT_FAILED(true), RESET(false), CANCELLED(false),
        NOT_SENT(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Returns whether this outcome proves that the backend never ran the request. {@link Rules} may restrict this for {@code FULL}. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /**
     * A request class. Its aim is a latency objective: an answer within {@code aimUs} earns {@code worth}, a later one the part
     * {@code lateWorth} of it. {@code scope} and {@code windowUs} say which backends deduplicate a keyed request, and for how long.
     */
    record RequestClass(String name, long aimUs, long deadlineUs, double worth, double lateWorth, Effect effect,
            Scope scope, long windowUs) {
        public RequestClass {
            require(name != null && !name.isEmpty(), "class name", name, "a text that is not empty");
            require(aimUs > 0, "aim of class " + name, aimUs, "more than 0 us");
            require(deadlineUs > 0, "deadline of class " + name, deadlineUs, "more than 0 us");
            require(worth >= 0 && Double.isFinite(worth), "worth of class " + name, worth, "a finite number from 0");
            require(lateWorth >= 0 && lateWorth <= 1, "late worth of class " + name, lateWorth, "a part from 0 to 1");
            require(effect != null, "effect of class " + name, effect, "a value");
            require(effect != Effect.KEYED || scope != null && windowUs >= 0, "scope and window of class " + name,
                    scope + " and " + windowUs, "a scope, and 0 us or more");
        }
    }

    /** A tenant and its share: the requests a second that it may send over all proxies together. */
    record Tenant(String name, double quotaPerS) {
        public Tenant {
            require(name != null && !name.isEmpty(), "tenant name", name, "a text that is not empty");
            require(quotaPerS >= 0, "quota of tenant " + name, quotaPerS, "0 requests a second or more");
        }
    }

    /**
     * What the proxy may do. With {@code hedging} it may send hedged requests. With {@code listOnRequest} the server list comes only
     * after {@link Watch} or {@link Fetch}.
     */
    record Limits(boolean cancel, boolean hedging, boolean probes, boolean listOnRequest, int maxAttempts,
            long maxRetryAfterUs) {
        public Limits {
            require(maxAttempts >= 1, "max attempts", maxAttempts, "1 or more");
            require(maxRetryAfterUs >= 0, "max retry-after", maxRetryAfterUs, "0 us or more");
        }
    }

    /**
     * The parameters of the rules. A backend starts at {@code coldFrom} of its capacity and is warm after {@code coldUs}. It fails
     * if all proxies together send it more than {@code fallMultiple} of its capacity for {@code fallUs}. A proxy without a watch has to ask
     * for the server list within {@code requestListWithinUs}. With {@code fullMayHaveRun}, a backend may answer {@link Outcome#FULL} for
     * work that it had begun.
     */
    record Rules(double coldFrom, long coldUs, double fallMultiple, long fallUs, long requestListWithinUs,
            boolean fullMayHaveRun) {
        public Rules {
            require(coldFrom > 0 && coldFrom <= 1, "cold from", coldFrom, "a part above 0 and up to 1");
            require(coldUs >= 0, "cold time", coldUs, "0 us or more");
            require(fallMultiple > 0, "fall multiple", fallMultiple, "more than 0");
            require(fallUs > 0, "fall time", fallUs, "more than 0 us");
            require(requestListWithinUs > 0, "request list within", requestListWithinUs, "more than 0 us");
        }
    }

    /**
     * The settings of an instance. {@code balancers} is the number of proxies and {@code rank} the number of this one, from 0.
     * {@code tickUs} is the least time between two batches of events. With {@code warmKeys}, a request's key prefers the backend that is
     * likely to have the key in its cache. A request of a tenant over its share is worth the part {@code overShareWorth} of its worth.
     */
    record Settings(int balancers, int rank, String zone, long tickUs, List<RequestClass> classes, List<Tenant> tenants,
            double overShareWorth, boolean warmKeys, Limits limits, Rules rules, long seed) {
        public Settings {
            require(balancers >= 1, "balancers", balancers, "1 or more");
            require(rank >= 0, "rank", rank, "0 or more");
            require(zone != null, "zone", zone, "a text");
            require(tickUs >= 0, "tick", tickUs, "0 us or more");
            require(classes != null && !classes.isEmpty(), "classes", classes, "one class or more");
            require(tenants != null, "tenants", tenants, "a list");
            require(overShareWorth >= 0 && overShareWorth <= 1, "over-share worth", overShareWorth, "a part from 0 to 1");
            require(limits != null, "limits", limits, "a value");
            require(rules != null, "rules", rules, "a value");
            classes = List.copyOf(classes);
            require(classes.stream().map(RequestClass::name).distinct().count() == classes.size(), "class names",
                    classes.stream().map(RequestClass::name).toList(), "no name twice");
            tenants = List.copyOf(tenants);
        }
    }

    /** An entry of the server list. A {@code startedAtUs} of 0 means long ago; {@code weight} is relative to that of other backends. */
    record Backend(String id, BackendState state, String kind, String zone, int cell, long startedAtUs, double weight) {
        public Backend {
            require(id != null && !id.isEmpty(), "backend id", id, "a text that is not empty");
            require(state != null, "state of backend " + id, state, "a value");
        }
    }

    /** An event that the proxy reports. */
    sealed interface Event permits ListUpdate, ListDeadline, SettingsChanged, Excluded, Included, Arrival, RequestStreamStarted,
            RequestStreamEnded, ResponseStreamStarted, AttemptEnded, ClientGone, TimerFired, ProbeEnded { }

    /** The server list has changed, or a call for it failed. A backend that is missing from a full list is gone. */
    record ListUpdate(ListKind kind, List<Backend> backends) implements Event { }

    /**
     * Whatever discovery has at a time counts as published to this proxy from then on, whether or not it could be reached until then. A
     * deadline replaces no earlier one.
     */
    record ListDeadline(long atUs) implements Event { }

    /** The settings have changed. A request that has arrived before keeps the settings in force at its arrival. */
    record SettingsChanged(Settings settings) implements Event { }

    /** The operators exclude a backend: until {@link Included} it gets no further attempts, even if the list says that it is ready. */
    record Excluded(String backend) implements Event { }

    /** The operators include a backend again. It was restarted meanwhile, whether or not the list says so already. */
    record Included(String backend) implements Event { }

    /**
     * A request from a client. {@code key} and {@code tenant} may be null, {@code leftUs} is the time left until the client's deadline,
     * {@code repeat} says that the client has sent it before, and {@code costUs} is the estimated work on a standard core, or 0 without an
     * estimate.
     */
    record Arrival(String id, String requestClass, String tenant, String key, long leftUs, boolean repeat, long costUs)
            implements Event { }

    /** An attempt is streaming a request that its client may still be sending: its server cannot answer before it has been sent in full. */
    record RequestStreamStarted(String id, int attempt) implements Event { }

    /** A streamed request has been sent in full: its server can answer from now on, and {@code leftUs} is left until the deadline. */
    record RequestStreamEnded(String id, int attempt, long leftUs) implements Event { }

    /** An attempt's response has begun to stream to the client: it is the final answer from here on, even if the stream breaks off. */
    record ResponseStreamStarted(String id, int attempt) implements Event { }

    /** An attempt has ended; reported once for each attempt. {@code last} says that the request has its final answer, now or before. */
    record AttemptEnded(String id, int attempt, String backend, Outcome outcome, long latencyUs, boolean last)
            implements Event { }

    /** The client has disconnected, so that the request needs no answer. */
    record ClientGone(String id) implements Event { }

    /** A timer that {@link SetTimer} had set has fired. */
    record TimerFired(String token) implements Event { }

    /** A probe has ended. */
    record ProbeEnded(String backend, Outcome outcome, long latencyUs) implements Event { }

    /** An action for the proxy to carry out. A test hashes the text of actions, so that their names and components must stay. */
    sealed interface Action permits Send, Refuse, Fail, Cancel, Release, SetTimer, Probe, Watch, Fetch, Log { }

    /**
     * Sends an attempt. The attempts of a request are numbered from 0, in the order sent. If the connection is established late, no part
     * of the attempt may be written after {@code sendByUs} on the proxy's clock.
     */
    record Send(String id, String backend, long timeoutUs, long sendByUs) implements Action {
        /** Creates an attempt that may be written whenever its connection is ready. */
        public Send(String id, String backend, long timeoutUs) {
            this(id, backend, timeoutUs, Long.MAX_VALUE);
        }
    }

    /** Refuses a request for now, as its final answer: the client may safely repeat it, after {@code retryAfterUs} if that is not 0. */
    record Refuse(String id, long retryAfterUs) implements Action { }

    /** Fails a request, as its final answer: it may or may not have had its effect. */
    record Fail(String id) implements Action { }

    /** Cancels one attempt. */
    record Cancel(String id, int attempt) implements Action { }

    /** Closes the idle connections to a backend. */
    record Release(String backend) implements Action { }

    /** Sets a timer: {@link TimerFired} comes at {@code atUs} on the proxy's clock. */
    record SetTimer(long atUs, String token) implements Action { }

    /** Probes a backend. */
    record Probe(String backend) implements Action { }

    /** Starts or ends the watch on the server list. */
    record Watch(boolean on) implements Action { }

    /** Asks for the full server list once. */
    record Fetch() implements Action { }

    /** Writes a line to the log for the operators. */
    record Log(String text) implements Action { }

    /**
     * Handles one event and passes the resulting actions to {@code actions}.
     *
     * @param nowUs the time on the proxy's clock, in microseconds, not before that of the previous event
     */
    void handle(long nowUs, Event event, Consumer<Action> actions);

    private static void require(boolean valid, String setting, Object value, String expected) {
        if (!valid) {
            throw new IllegalArgumentException("invalid setting: " + setting + " is " + value + ", expected " + expected);
        }
    }
}

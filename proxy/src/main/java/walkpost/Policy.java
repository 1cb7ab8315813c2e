package walkpost;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The decision module: decides to which server one proxy sends each request, and when it queues, retries, refuses or fails one. The
 * settings, events and actions are declared in {@link Balancer}.
 *
 * <p>Servers are chosen by weighted earliest deadline first: a request goes to the eligible server with the earliest deadline
 * (virtualTime + 1) / weight, where weight = c / (sum of all c), and c = 1 / (response time of the server's kind, as this proxy has
 * measured it). The virtual time of a server is the number of requests sent to it since the last refresh of the weights.
 *
 * <p>It keeps these rules:
 * <ul>
 * <li>Every request gets one final answer, before its client's deadline.
 * <li>A request that may have run is sent again only if its class allows that.
 * <li>A server that drains or is gone gets no further attempts.
 * <li>All proxies together do not overload a cold server.
 * <li>{@link Outcome#FULL} proves that a request did not run, unless {@link Rules} says otherwise.
 * <li>No idle connection is kept to a server that drains or is gone.
 * </ul>
 *
 * <p>Not thread-safe: one thread makes all calls. It does no I/O, and equal settings, seed and events give equal actions. Names that
 * end in {@code At} or {@code Until}, and deadlines, are times on the proxy's clock in microseconds.
 */
public final class Policy implements Balancer {
    /** In the estimate of a server's response time, the mean of its kind counts as much as this number of its own answers. */
    private static final double KIND_MEAN_SAMPLES = 4;
    /** The part of a server's own answers that is kept at a refresh of the weights. */
    private static final double OWN_SAMPLES_KEPT = 0.8;
    /** The factor on the weight of the server that is likely to have a request's key in its cache. */
    private static final double WARM_KEY_FACTOR = 4;
    /** The factor on the weight of a server in the proxy's own zone. */
    private static final double OWN_ZONE_FACTOR = 4;
    /** The number of proxies that share a server, if there are no more proxies than servers. */
    private static final double PROXIES_PER_SERVER = 3;
    /** The least weight of a server, as a part of the largest weight. */
    private static final double MIN_WEIGHT_PER_LARGEST = 0.05;
    /** Retry budget: the tokens that each request adds; a retry costs one. */
    private static final double RETRY_TOKENS_PER_REQUEST = 0.2;
    private static final double MAX_RETRY_TOKENS = 10;
    /**
     * The timeout of an attempt, as a multiple of the time left until the aim. If attempts were cut off sooner, the servers would still
     * work on them while the proxy counts them as ended.
     */
    private static final double TIMEOUT_PER_TIME_TO_AIM = 2;
    /** Each flow takes 250 bytes. The bound is high enough: every ejection has ended before this number of other flows can fail. */
    private static final int MAX_EJECTED_FLOWS = 16_384;

    private Settings settings;
    private Rules rules;
    private final Random random;
    /** The request classes by name. Classes that are no longer in the settings stay, because their requests may still arrive. */
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final TenantShares tenantShares = new TenantShares();
    private final ConcurrencyLimit concurrencyLimit = new ConcurrencyLimit();
    /** The least time left until its deadline with which a first try (not a repeat) has arrived, by the name of the request class. */
    private final Map<String, Long> minFirstTryLeftUs = new HashMap<>();
    private final Map<String, ResponseTimeStats> statsByKind = new HashMap<>();
    private final ResponseTimeStats overallStats = new ResponseTimeStats();
    private final Map<String, Server> serversById = new HashMap<>();
    /** The servers that are ready and not excluded, in this proxy's own order. */
    private final List<Server> servers = new ArrayList<>();
    private final EjectedFlows ejectedFlows = new EjectedFlows(MAX_EJECTED_FLOWS);
    private final Set<String> excludedIds = new HashSet<>();
    /** The time at which the operators ended a server's exclusion, by its id. An entry is removed once the server is warm again. */
    private final Map<String, Long> includedAt = new HashMap<>();
    private final Map<String, Request> requests = new HashMap<>();
    private long refreshPeriodUs;
    private long nextRefreshAt = Long.MIN_VALUE;
    private double retryTokens = MAX_RETRY_TOKENS;
    private final ListRequestSchedule listRequests;
    /** The work of all attempts in flight, in requests of mean cost. */
    private double workInFlight;
    private double meanCostUs;
    private int costSamples;
    private long longestAimUs;
    /** The queued requests, those of the highest worth first, and of these the earliest aim first. */
    private final List<Request> queue = new ArrayList<>();
    private long queueTimerAt = Long.MIN_VALUE;
    /** The time by which all ready servers are warm. */
    private long allWarmAt = Long.MIN_VALUE;
    private long now;
    private Consumer<Action> actions;

    /** Creates an instance with an empty list of servers. */
    public Policy(Settings settings) {
        this.random = new Random(settings.seed());
        this.listRequests = new ListRequestSchedule(random);
        applySettings(settings);
    }

    /** Applies the first settings or changed ones. The state of servers and tenants is kept. */
    private void applySettings(Settings next) {
        settings = next;
        rules = next.rules();
        next.classes().forEach(c -> classes.put(c.name(), c));
        var aims = next.classes().stream().mapToLong(RequestClass::aimUs).summaryStatistics();
        longestAimUs = aims.getMax();
        refreshPeriodUs = 2 * longestAimUs;
        tenantShares.configure(next, refreshPeriodUs);
        concurrencyLimit.configure(next.balancers(), aims.getMin(), refreshPeriodUs);
        // The times left of earlier first tries depend on the earlier deadlines.
        minFirstTryLeftUs.clear();
    }

    /** A server on the list, and the state that this proxy keeps for it. */
    private static final class Server {
        private final String id;
        private Backend listed;
        /** The statistics that this server shares with all servers of its kind. */
        private ResponseTimeStats kindStats;
        private double weight;
        private double zoneFactor;
        private double virtualTime;
        private double workInFlight;
        /** The sum of this server's own response times, with those before a refresh counted in part, and their number. */
        private double ownTotalUs;
        private double ownSamples;
        private final SlowStart slowStart = new SlowStart();
        private final OutlierDetector detector = new OutlierDetector();
        private final FlowOutlierDetectors flowDetectors;
        private boolean ready;

        Server(String id, EjectedFlows ejectedFlows) {
            this.id = id;
            this.flowDetectors = new FlowOutlierDetectors(ejectedFlows);
        }
    }

    /** A request that has no final answer yet, or has attempts in flight, with all its attempts. */
    private static final class Request {
        private final String id;
        private final RequestClass requestClass;
        private final String flow;
        private final String key;
        private final double worth;
        private final double size;
        private final double costUs;
        private final int maxAttempts;
        private long aimAt;
        private long deadline;
        private final List<Attempt> attempts = new ArrayList<>(2);
        private int inFlight;
        /** Set once the request has its final answer or its client has left. */
        private boolean finished;
        private long queueUntil;
        /** The part of all classes that are worth less than this request. */
        private double cheaperClassesPart;
        /** The server that is likely to have the request's key in its cache; null if there is none. */
        private Server keyServer;

        Request(String id, RequestClass requestClass, String flow, String key, double worth, double size, double costUs,
                long clientBeganAt, long deadline, int maxAttempts) {
            this.id = id;
            this.requestClass = requestClass;
            this.flow = flow;
            this.key = key;
            this.worth = worth;
            this.size = size;
            this.costUs = costUs;
            this.maxAttempts = maxAttempts;
            this.deadline = deadline;
            this.aimAt = requestClass.lateWorth() > 0 ? deadline : Math.min(deadline, clientBeganAt + requestClass.aimUs());
        }

        boolean precedes(Request other) {
            return worth > other.worth || worth == other.worth && aimAt < other.aimAt;
        }
    }

    /** One attempt. Its {@code outcome} is null while it is in flight. */
    private static final class Attempt {
        private final Request request;
        private final Server server;
        private final Backend listedWhenSent;
        private final long timeoutUs;
        private long sentAt;
        /** Whether this counts as the server's work: not while the request body or the response body is only being relayed. */
        private boolean countedAsWork;
        private boolean responseStreaming;
        private Outcome outcome;

        Attempt(Request request, Server server, long sentAt, long timeoutUs) {
            this.request = request;
            this.server = server;
            this.listedWhenSent = server.listed;
            this.sentAt = sentAt;
            this.timeoutUs = timeoutUs;
        }
    }

    @Override
    public void handle(long nowUs, Event event, Consumer<Action> actions) {
        now = nowUs;
        concurrencyLimit.update(now, servers.size(), meanConcurrencyPart());
        this.actions = actions;
        if (!listRequests.isStarted()) {
            listRequests.request(settings, now, actions);
        }
        if (event instanceof Arrival e) {
            requestArrived(e);
        } else if (event instanceof AttemptEnded e) {
            attemptEnded(e);
        } else if (event instanceof RequestStreamStarted e) {
            findInFlight(e.id(), e.attempt()).ifPresent(this::requestStreamStarted);
        } else if (event instanceof RequestStreamEnded e) {
            findInFlight(e.id(), e.attempt()).ifPresent(attempt -> requestStreamEnded(attempt, e.leftUs()));
        } else if (event instanceof ResponseStreamStarted e) {
            findInFlight(e.id(), e.attempt()).ifPresent(this::responseStreamStarted);
        } else if (event instanceof TimerFired e && e.token().equals(ListRequestSchedule.TIMER) && listRequests.isDue(now)) {
            listRequests.request(settings, now, actions);
        } else if (event instanceof ListUpdate e) {
            listUpdated(e);
        } else if (event instanceof ListDeadline e) {
            listRequests.addDeadline(e.atUs(), now, actions);
        } else if (event instanceof SettingsChanged e) {
            applySettings(e.settings());
            refreshWeights();
            listRequests.request(settings, now, actions);
        } else if (event instanceof Excluded e) {
            exclude(e.backend());
        } else if (event instanceof Included e && excludedIds.remove(e.backend())) {
            include(e.backend());
        } else if (event instanceof ClientGone e && requests.containsKey(e.id())) {
            finish(requests.get(e.id()));
        }
        sendQueued();
    }

    // List of servers

    private void listUpdated(ListUpdate update) {
        if (update.kind() == ListKind.FAILED) {
            listRequests.onCallFailed(settings, now, actions);
            return;
        }
        if (update.kind() != ListKind.CACHED) {
            listRequests.onListReceived();
        }
        applyList(update.kind(), update.backends());
    }

    /** Applies a list update: adds, updates and removes servers, and releases the connections to those that are no longer ready. */
    private void applyList(ListKind kind, List<Backend> backends) {
        List<Server> readyBefore = List.copyOf(servers);
        if (kind != ListKind.DELTA) {
            servers.forEach(server -> server.ready = false);
            servers.clear();
        }
        var readyButExcluded = new HashSet<Server>();
        for (Backend backend : backends) {
            Server server = serversById.computeIfAbsent(backend.id(), id -> new Server(id, ejectedFlows));
            if (server.listed == null || backend.startedAtUs() != server.listed.startedAtUs()) {
                server.ownTotalUs = server.ownSamples = 0;
                server.slowStart.begin(random.nextDouble(), now);
            }
            server.listed = backend;
            server.slowStart.setStartedAt(Math.max(backend.startedAtUs(), includedAt.getOrDefault(backend.id(), 0L)));
            server.zoneFactor = settings.zone().equals(backend.zone()) ? OWN_ZONE_FACTOR : 1;
            server.kindStats = statsByKind.computeIfAbsent(String.valueOf(backend.kind()), name -> new ResponseTimeStats());
            if (server.ready) {
                // Removes only servers that are present: searching in vain for each entry of a full list would take quadratic time.
                servers.remove(server);
            }
            server.ready = backend.state() == BackendState.READY && !excludedIds.contains(backend.id());
            if (server.ready) {
                servers.add(server);
            } else if (backend.state() == BackendState.READY) {
                readyButExcluded.add(server);
            }
        }
        readyBefore.forEach(this::releaseUnlessReady);
        if (kind != ListKind.DELTA) {
            serversById.values().removeIf(server -> !server.ready && !readyButExcluded.contains(server));
        }
        refreshWeights();
    }

    /**
     * Excludes a server until {@link #include}. Its state is kept, because discovery does not have to list the server again when the
     * exclusion ends.
     */
    private void exclude(String id) {
        excludedIds.add(id);
        Server server = serversById.get(id);
        if (server != null && server.ready) {
            server.ready = false;
            servers.remove(server);
            releaseUnlessReady(server);
            refreshWeights();
        }
    }

    /** Ends the exclusion of a server. It comes back cold, so that its state from before the exclusion is discarded. */
    private void include(String id) {
        includedAt.put(id, now);
        Server server = serversById.get(id);
        if (server != null && server.listed.state() == BackendState.READY) {
            applyList(ListKind.DELTA, List.of(serversById.remove(id).listed));
        }
    }

    /** Releases the idle connections to a server that is not ready, because no request will use them. */
    private void releaseUnlessReady(Server server) {
        if (!server.ready) {
            actions.accept(new Release(server.id));
        }
    }

    /**
     * Sorts the servers in this proxy's own order of preference. If there are more proxies than servers, they form groups of as many
     * proxies as there are servers. Each group has an order of its own, and the proxies of a group begin at places that are spread evenly
     * over this order, by weight. So no two proxies have both the same first server and the same fallbacks.
     */
    private void orderServers() {
        int groups = Math.max(1, settings.balancers() / Math.max(1, servers.size()));
        int shuffle = mix(settings.rank() % groups);
        servers.sort(Comparator.comparingInt(server -> mix(server.id.hashCode() ^ shuffle)));
        double position = (settings.rank() / groups) * (double) groups / settings.balancers();
        int first = 0;
        while (first < servers.size() - 1 && position > servers.get(first).weight - 1e-9) {
            position -= servers.get(first++).weight;
        }
        Collections.rotate(servers, -first);
    }

    /**
     * Returns whether outlier detection allows sending a request to a server. It guards against servers that hang, are dead or slow, or
     * fail for some flows only.
     */
    private boolean isEligible(Server server, Request request) {
        long silenceUs = (long) Math.max(2 * concurrencyLimit.targetUs(), server.kindStats.meanUs());
        return server.detector.isEligible(now, silenceUs) && server.flowDetectors.isEligible(request.flow, now, silenceUs);
    }

    /** Returns the number of flows at servers that are stored. It grows with the flows in use, and not with tenants times servers. */
    int trackedFlows() {
        return serversById.values().stream().mapToInt(server -> server.flowDetectors.size()).sum();
    }

    // Weights

    /**
     * Sets the weights w = c / (sum of all c) and resets the virtual times. This happens at every list change, and otherwise once in each
     * refresh period, which is twice the longest aim.
     */
    private void refreshWeights() {
        nextRefreshAt = now + refreshPeriodUs;
        includedAt.values().removeIf(at -> now - at >= rules.coldUs());
        allWarmAt = servers.stream().mapToLong(server -> server.slowStart.warmAt(rules)).max().orElse(Long.MIN_VALUE);
        // A kind without answers has its weight from the list, scaled to the unit of the kinds that have answers.
        double scale = servers.stream().filter(server -> server.kindStats.hasSamples())
                .mapToDouble(server -> 1 / (server.kindStats.meanUs() * server.listed.weight())).average().orElse(1);
        servers.forEach(server ->
                server.weight = server.kindStats.hasSamples() ? 1 / responseUs(server) : server.listed.weight() * scale);
        double floor = MIN_WEIGHT_PER_LARGEST * servers.stream().mapToDouble(server -> server.weight).max().orElse(1);
        double sum = servers.stream().mapToDouble(server -> Math.max(server.weight, floor)).sum();
        for (Server server : servers) {
            server.weight = Math.max(server.weight, floor) / sum;
            server.virtualTime = 0;
            server.ownTotalUs *= OWN_SAMPLES_KEPT;
            server.ownSamples *= OWN_SAMPLES_KEPT;
        }
        orderServers();
    }

    private void addLatency(Server server, double latencyUs) {
        server.kindStats.addLatency(latencyUs);
        server.ownTotalUs += latencyUs;
        server.ownSamples++;
    }

    /** Returns the estimated response time of a server: the mean of its kind and its own, weighted by the number of its own answers. */
    private double responseUs(Server server) {
        return (KIND_MEAN_SAMPLES * server.kindStats.meanUs() + server.ownTotalUs) / (KIND_MEAN_SAMPLES + server.ownSamples);
    }

    // Choice of a server

    private void requestArrived(Arrival arrival) {
        RequestClass requestClass = classes.get(arrival.requestClass());
        if (requestClass == null) {
            throw new IllegalArgumentException("request " + arrival.id() + " has class '" + arrival.requestClass()
                    + "', which is not in the settings");
        }
        if (now >= nextRefreshAt) {
            concurrencyLimit.refresh(overallStats.hasReliableMean() ? overallStats.meanUs() : 0, servers.size());
            refreshWeights();
        }
        retryTokens = Math.min(MAX_RETRY_TOKENS, retryTokens + RETRY_TOKENS_PER_REQUEST);
        String flow = requestClass.name() + '\n' + (tenantShares.hasShare(arrival.tenant()) ? arrival.tenant() : "");
        double worth = tenantShares.chargeIsOverShare(arrival.tenant(), arrival.repeat(), now) ? settings.overShareWorth() : 1;
        // A repeat with less time left than first tries have shows when the client began. If its aim has passed since, it is worth
        // as much as a late answer.
        long firstTryLeftUs = minFirstTryLeftUs.merge(requestClass.name(), arrival.repeat() ? Long.MAX_VALUE : arrival.leftUs(),
                Math::min);
        long clientBeganAt = arrival.leftUs() < firstTryLeftUs ? now + arrival.leftUs() - requestClass.deadlineUs() : now;
        worth *= requestClass.worth() * (now < clientBeganAt + requestClass.aimUs() ? 1 : requestClass.lateWorth());
        String key = settings.warmKeys() ? arrival.key() : null;
        var request = new Request(arrival.id(), requestClass, flow, key, worth, relativeSize(arrival), arrival.costUs(), clientBeganAt,
                now + arrival.leftUs(), settings.limits().maxAttempts());
        requests.put(request.id, request);
        enqueue(request);
    }

    /** Returns the server that a request is to be sent to now, or null if it has to wait. */
    private Server chooseServer(Request request) {
        Server best = null;
        double earliestVirtualDeadline = Double.POSITIVE_INFINITY;
        // The score is below 0 if fewer than a quarter of the servers considered are eligible.
        int eligibilityScore = 0;
        // A proxy uses only its part of the servers. One that is far busier than others uses as many servers as it has attempts in flight
        // on average.
        double warmServersLeft = Math.max(PROXIES_PER_SERVER * servers.size() / settings.balancers(),
                concurrencyLimit.unloadedConcurrency());
        for (Server server : servers) {
            if (!mayBeSentTo(server, request) || !canMeetAim(server, request)) {
                continue;
            }
            boolean eligible = isEligible(server, request);
            eligibilityScore += eligible ? 3 : -1;
            double virtualDeadline = (server.virtualTime + 1)
                    / (server.weight * server.zoneFactor * (server == request.keyServer ? WARM_KEY_FACTOR : 1));
            // Servers that had an attempt of this request come after the others, and servers that are not eligible come last.
            virtualDeadline *= request.attempts.isEmpty()
                    || request.attempts.stream().noneMatch(attempt -> attempt.server == server) ? 1 : 1e6;
            virtualDeadline *= eligible ? 1 : 1e18;
            // Every proxy may use a cold server. Only a few proxies have it in their part, and without this exception it would not get the
            // requests that its slow start allows to the others.
            boolean mayUse = !eligible || warmServersLeft > 0 || warmth(server) < 1;
            if (mayUse && virtualDeadline < earliestVirtualDeadline && hasCapacity(server, request) && slowStartAllows(server)) {
                best = server;
                earliestVirtualDeadline = virtualDeadline;
            }
            // Only warm and eligible servers that are not much slower than their kind count as this proxy's part.
            boolean notSlow = !server.kindStats.hasSamples() || responseUs(server) < 4 * server.kindStats.meanUs();
            warmServersLeft -= settings.balancers() > PROXIES_PER_SERVER && eligible && notSlow && warmth(server) >= 1 ? 1 : 0;
        }
        // If nearly all servers look faulty, the cause is a partition of this proxy or overload. Then ejected servers are used as well.
        return best == null || eligibilityScore < 0 || isEligible(best, request) ? best : null;
    }

    /**
     * Returns whether a server that did nothing else could answer a request before its aim. A server that could not is not sent the
     * request, because the answer would be worth nothing and the work would keep many other requests waiting.
     */
    private boolean canMeetAim(Server server, Request request) {
        double workUs = workUs(server, request);
        return workUs == 0 || now >= request.aimAt
                || now + workUs * Math.max(1, responseUs(server) / server.kindStats.meanUs()) <= request.aimAt;
    }

    /** Returns how long a request takes at a server of that kind which does nothing else; 0 if that is not known. */
    private double workUs(Server server, Request request) {
        return request.costUs * server.kindStats.timePerCost(now, OutlierDetector.MAX_EJECTION_MULTIPLE * refreshPeriodUs);
    }

    /** Returns the server that is likely to have a key in its cache: by rendezvous hashing, the same one for all proxies. */
    private Server keyServer(String key) {
        return servers.stream().max(Comparator.comparingInt(server -> mix(key.hashCode() ^ server.id.hashCode())))
                .orElse(null);
    }

    /** Spreads the entropy of a hash code over all its bits. */
    private static int mix(int hash) {
        int mixed = hash * 0x9E3779B1;
        mixed = (mixed ^ mixed >>> 15) * 0x85EBCA6B;
        return mixed ^ mixed >>> 13;
    }

    /** Returns the work of a request, in requests: its cost divided by the mean cost, or 1 if the client gives no estimate of the cost. */
    private double relativeSize(Arrival arrival) {
        if (arrival.costUs() <= 0) {
            return 1;
        }
        costSamples = Math.min(costSamples + 1, ResponseTimeStats.MAX_SAMPLES);
        meanCostUs += (arrival.costUs() - meanCostUs) / costSamples;
        return arrival.costUs() / meanCostUs;
    }

    /**
     * Returns whether a server may take a request: of all work in flight, it may have the part that its weight says, and at least one
     * attempt. The virtual times count only what was sent; this check also sees a server that answers late or not at all, or is busy with
     * costly requests.
     */
    private boolean hasCapacity(Server server, Request request) {
        return server.detector.isIdle()
                || server.workInFlight + request.size <= Math.ceil(server.weight * (workInFlight + request.size));
    }

    /** Returns whether a request may be sent to a server: one that may have run goes only where its class lets it run again. */
    private boolean mayBeSentTo(Server server, Request request) {
        return request.attempts.isEmpty() || request.requestClass.effect() == Effect.SAFE || request.attempts.stream().allMatch(attempt ->
                !mayHaveRun(attempt) || request.requestClass.effect() == Effect.KEYED
                && now < attempt.sentAt + request.requestClass.windowUs()
                && inSameScope(request.requestClass.scope(), attempt.listedWhenSent, server.listed));
    }

    /**
     * Returns whether an attempt may have had an effect. If the rules say that {@link Outcome#FULL} is no proof of the contrary, it
     * counts as any other failure, for retries and refusals alike.
     */
    private boolean mayHaveRun(Attempt attempt) {
        return attempt.outcome == null || !attempt.outcome.neverRan()
                || attempt.outcome == Outcome.FULL && rules.fullMayHaveRun();
    }

    private static boolean inSameScope(Scope scope, Backend first, Backend second) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> String.valueOf(first.zone()).equals(second.zone());
            case CELL -> first.cell() == second.cell();
        };
    }

    private double warmth(Server server) {
        return server.slowStart.warmth(now, rules);
    }

    /** Returns the servers' concurrency as a part of their concurrency when all are warm; 1 in the usual case that none is cold. */
    private double meanConcurrencyPart() {
        return now >= allWarmAt ? 1
                : servers.stream().mapToDouble(server -> ConcurrencyLimit.concurrencyPart(warmth(server))).average().orElse(1);
    }

    /**
     * Returns whether the slow start of a server allows one more request. The server's capacity is an estimate: the rate at which servers
     * of its weight have answered this proxy, or one request at a time over all proxies if that is more.
     */
    private boolean slowStartAllows(Server server) {
        if (warmth(server) >= 1) {
            return true;
        }
        double requestUs = server.kindStats.hasSamples() ? server.kindStats.meanUs() : longestAimUs;
        double warmRatePerUs = Math.max(1 / (requestUs * settings.balancers()),
                concurrencyLimit.answersPerUsAndServer() * server.weight * servers.size());
        return server.slowStart.allowance(now, rules, warmRatePerUs) >= 1;
    }

    /** Sends an attempt of a request to a server. */
    private void send(Request request, Server server) {
        server.virtualTime += 1;
        server.slowStart.requestSent();
        request.inFlight++;
        // A slow answer is worth waiting for, but not long past its aim, because a silent attempt uses up concurrency that others need.
        long untilLateUs = now < request.aimAt ? (long) (TIMEOUT_PER_TIME_TO_AIM * (request.aimAt - now)) : Long.MAX_VALUE;
        var attempt = new Attempt(request, server, now, Math.min(request.deadline - now, untilLateUs));
        // The connection may be established late, and the attempt may not be written after the deduplication window of the key has ended.
        long sendByUs = request.requestClass.effect() != Effect.KEYED ? Long.MAX_VALUE
                : request.attempts.stream().filter(this::mayHaveRun)
                        .mapToLong(earlier -> earlier.sentAt + request.requestClass.windowUs()).min().orElse(Long.MAX_VALUE);
        request.attempts.add(attempt);
        beginWork(attempt);
        actions.accept(new Send(request.id, server.id, attempt.timeoutUs, sendByUs));
    }

    // Attempt outcome

    private void attemptEnded(AttemptEnded ended) {
        Request request = requests.get(ended.id());
        if (request == null || ended.attempt() >= request.attempts.size() || request.attempts.get(ended.attempt()).outcome != null) {
            return;
        }
        Attempt attempt = request.attempts.get(ended.attempt());
        attempt.outcome = ended.outcome();
        endWork(attempt, ended.outcome() != Outcome.TIMEOUT && ended.outcome() != Outcome.CANCELLED);
        request.inFlight--;
        releaseUnlessReady(attempt.server);
        if (!attempt.responseStreaming) {
            recordOutcome(attempt, ended.outcome(), ended.latencyUs());
        }
        if (request.finished || ended.last()) {
            finish(request);
        } else if (request.inFlight == 0) {
            retry(request);
        }
    }

    /** Begins to count an attempt as work of its server, for the first time or again. */
    private void beginWork(Attempt attempt) {
        attempt.countedAsWork = true;
        attempt.server.detector.attemptSent(now);
        attempt.server.flowDetectors.attemptSent(attempt.request.flow, now);
        attempt.server.workInFlight += attempt.request.size;
        workInFlight += attempt.request.size;
        concurrencyLimit.attemptSent();
    }

    /** Ends counting an attempt as work of its server; {@code signal} says whether the server or its network has responded. */
    private void endWork(Attempt attempt, boolean signal) {
        if (attempt.countedAsWork) {
            attempt.countedAsWork = false;
            attempt.server.detector.attemptEnded(now, signal);
            attempt.server.flowDetectors.attemptEnded(attempt.request.flow, now, signal);
            attempt.server.workInFlight -= attempt.request.size;
            workInFlight -= attempt.request.size;
            concurrencyLimit.attemptEnded();
        }
    }

    /** Returns an attempt by the request's id and the attempt's number, if it is in flight. */
    private Optional<Attempt> findInFlight(String id, int number) {
        Request request = requests.get(id);
        return request == null || number >= request.attempts.size() || request.attempts.get(number).outcome != null ? Optional.empty()
                : Optional.of(request.attempts.get(number));
    }

    /** Stops counting the attempt as work: while the client is still sending its request, the server has no answer to give. */
    private void requestStreamStarted(Attempt attempt) {
        endWork(attempt, true);
    }

    /** Restarts the times of an attempt, as if its request had arrived and been sent only now. */
    private void requestStreamEnded(Attempt attempt, long leftUs) {
        Request request = attempt.request;
        long aimUs = request.aimAt - attempt.sentAt;
        attempt.sentAt = now;
        request.deadline = now + leftUs;
        request.aimAt = Math.min(request.deadline, now + aimUs);
        beginWork(attempt);
    }

    /** Records a success: the server's work is done, and how long the rest of the response body takes is not up to the server alone. */
    private void responseStreamStarted(Attempt attempt) {
        endWork(attempt, true);
        attempt.responseStreaming = true;
        recordOutcome(attempt, Outcome.OK, now - attempt.sentAt);
    }

    /** Records the outcome of an attempt in the outlier detection, the response times and the concurrency limit. */
    private void recordOutcome(Attempt attempt, Outcome outcome, long latencyUs) {
        Request request = attempt.request;
        boolean success = outcome == Outcome.OK;
        // A server that cannot be reached, or is silent for long, has failed for all flows. Any other failure counts for the flow alone.
        if (outcome != Outcome.CANCELLED && outcome != Outcome.NOT_SENT) {
            boolean silent = outcome == Outcome.TIMEOUT
                    && workUs(attempt.server, request) < attempt.timeoutUs / TIMEOUT_PER_TIME_TO_AIM / 2;
            attempt.server.detector.recordResult(outcome != Outcome.CONNECT_FAILED && !silent, now, refreshPeriodUs);
            attempt.server.flowDetectors.recordResult(request.flow, success, now, refreshPeriodUs);
            addLatency(attempt.server, success ? latencyUs : outcome == Outcome.ERROR ? request.requestClass.aimUs() : attempt.timeoutUs);
        }
        if (success) {
            overallStats.addLatency(latencyUs);
            if (request.costUs > 0) {
                attempt.server.kindStats.addLatencyForCost(latencyUs, request.costUs, now);
            }
            concurrencyLimit.requestAnswered();
        }
    }

    /** Finishes a request: cancels its attempts in flight, if that is allowed, and forgets it once none is in flight. */
    private void finish(Request request) {
        if (!request.finished && settings.limits().cancel()) {
            for (int i = 0; i < request.attempts.size(); i++) {
                if (request.attempts.get(i).outcome == null) {
                    actions.accept(new Cancel(request.id, i));
                }
            }
        }
        request.finished = true;
        queue.remove(request);
        if (request.inFlight == 0) {
            requests.remove(request.id);
        }
    }

    // Retry

    /** Queues a request again after a failed attempt, if the retry budget, its aim and its class allow; otherwise finishes it. */
    private void retry(Request request) {
        // A request that may not be sent to any server is not queued, because it would only take up room in the queue.
        if (now < request.aimAt && retryTokens >= 1 && request.attempts.size() < request.maxAttempts
                && servers.stream().anyMatch(server -> mayBeSentTo(server, request))) {
            retryTokens -= 1;
            enqueue(request);
        } else {
            refuseOrFail(request);
        }
    }

    // Queue and refusal

    /** Puts a request into the queue, in its order. It is sent in the same call of {@link #handle} if the limit allows. */
    private void enqueue(Request request) {
        // A request that is sent at the last moment has to be answered before its aim, and that may take twice the target time.
        request.queueUntil = Math.min(request.aimAt - 2 * concurrencyLimit.targetUs(), request.deadline - 2 * settings.tickUs());
        request.cheaperClassesPart = 1.0 * settings.classes().stream().filter(c -> c.worth() < request.worth).count()
                / settings.classes().size();
        request.keyServer = request.key == null ? null : keyServer(request.key);
        int i = queue.size();
        while (i > 0 && request.precedes(queue.get(i - 1))) {
            i--;
        }
        queue.add(i, request);
    }

    /**
     * Sends the queued requests that the limits allow. A request stays queued if there is time, if a server can still meet its aim, and if
     * the queue is no longer than the concurrency limit; otherwise it is refused or failed.
     */
    private void sendQueued() {
        if (queue.isEmpty()) {
            return;
        }
        // Requests whose key is warm at a server go first: without the cache a request costs its full work, and under overload there is
        // no capacity to spare for that.
        for (int i = 0; i < queue.size() && queue.get(i).worth == queue.get(0).worth
                && concurrencyLimit.allowsOneMore(queue.get(i).cheaperClassesPart);) {
            Request request = queue.get(i);
            if (request.keyServer != null && chooseServer(request) == request.keyServer) {
                queue.remove(i);
                send(request, request.keyServer);
            } else {
                i++;
            }
        }
        for (int i = 0; i < queue.size() && concurrencyLimit.allowsOneMore(queue.get(i).cheaperClassesPart);) {
            Request request = queue.get(i);
            Server server = chooseServer(request);
            if (server != null) {
                queue.remove(i);
                send(request, server);
            } else if (request.attempts.isEmpty() && request.size <= 1 && servers.stream().allMatch(any -> canMeetAim(any, request))) {
                // If a request that is not large and may go to any server finds no room, those behind it find none either.
                break;
            } else {
                i++;
            }
        }
        for (int i = queue.size() - 1; i >= 0; i--) {
            Request request = queue.get(i);
            if (request.queueUntil <= now || servers.stream().noneMatch(server -> canMeetAim(server, request))
                    || i >= Math.max(concurrencyLimit.limit(), 1)) {
                queue.remove(i);
                refuseOrFail(request);
            }
        }
        // Every queued request has a timer ahead of its deadline, because it must get an answer by then. The timer fires sooner than that,
        // because the limit also grows with time.
        long earliestEnd = queue.stream().mapToLong(request -> request.queueUntil).min().orElse(Long.MAX_VALUE);
        if (!queue.isEmpty() && (now >= queueTimerAt || earliestEnd < queueTimerAt)) {
            queueTimerAt = Math.min(now + concurrencyLimit.targetUs() / 4, earliestEnd);
            actions.accept(new SetTimer(queueTimerAt, "held"));
        }
    }

    /** Gives the final answer: a refusal if it is safe to repeat the request, else a failure. */
    private void refuseOrFail(Request request) {
        concurrencyLimit.requestRefused();
        boolean safeToRepeat = request.requestClass.effect() == Effect.SAFE
                || request.requestClass.effect() == Effect.KEYED && request.requestClass.scope() == Scope.ALL
                || request.attempts.stream().noneMatch(this::mayHaveRun);
        actions.accept(safeToRepeat ? new Refuse(request.id, retryAfterUs(request)) : new Fail(request.id));
        finish(request);
    }

    /**
     * Returns when the client may come back: by then the requests that are queued now have been answered. Each request has a jitter of its
     * own, so that refused clients do not come back in step.
     */
    private long retryAfterUs(Request request) {
        double queuedUs = servers.isEmpty() ? refreshPeriodUs
                : queue.size() / Math.max(concurrencyLimit.answerRate(), 1.0 / refreshPeriodUs);
        // The jitter is from 0.75 to 1, by the hash code of the request.
        double jitter = 1 - (mix(request.id.hashCode()) >>> 16) / 262_144.0;
        return (long) (jitter * Math.min(Math.max(concurrencyLimit.targetUs(), queuedUs), settings.limits().maxRetryAfterUs()));
    }
}

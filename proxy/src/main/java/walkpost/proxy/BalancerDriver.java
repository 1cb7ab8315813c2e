package walkpost.proxy;

import walkpost.Balancer;
import walkpost.Balancer.Action;
import walkpost.Balancer.Event;
import walkpost.Balancer.Outcome;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Connects the {@link Balancer} to the sockets: delivers events to the balancer one at a time and carries out the actions that it returns.
 * This class makes no decisions. It runs on the proxy's event loop only.
 */
final class BalancerDriver {
    /**
     * The client's side of a request, which writes the response. The driver calls exactly one of the four methods that answer, exactly
     * once, unless the client disconnects first.
     */
    interface Responder {
        /** Answers with a server's complete response. */
        void respond(ServerConnections.BufferedResponse answer);

        /** Answers with a server's response whose body is still being received. */
        void respondStreaming(ServerConnections.StreamedResponse stream);

        /** Answers that the request was refused and may be retried after {@code retryAfterUs}; 0 gives no hint. */
        void refuse(long retryAfterUs);

        /** Answers that the request failed. */
        void fail();

        /** Returns whether the client is connected and still waits for this response, judged by the input read so far. */
        boolean isClientConnected();

        /**
         * Returns the last moment, on the proxy's clock, at which an answer can be sent and still reach the client before it gives up.
         * While the body of the request is being received, this is the earliest moment that it may turn out to be, and may move on.
         */
        long deadlineUs();

        /** Returns whether the client may have closed its connection some time ago without the proxy having read that yet. */
        boolean mayHaveUnreadClose();

        /**
         * Reads on in a long request that waits to be sent, so that a close behind it is noticed.
         *
         * @return whether so much is unread that a close behind it may have come some time ago
         */
        boolean readAhead();
    }

    /**
     * A client's request.
     *
     * @param mayRunAgain whether another request with the same id may be sent, later or by another process
     * @param limits the limits that were in force when the request came in
     */
    record IncomingRequest(String id, String requestClass, String tenant, String key, boolean mayRunAgain, boolean repeat, long costUs,
            Balancer.Limits limits, ServerConnections.OutgoingRequest outgoing) { }

    /** A request and its attempts, kept until the request is finished and none of its attempts is in flight. */
    private static final class Request {
        private final IncomingRequest incoming;
        private final Responder responder;
        /** The attempts by number; null where an attempt was never sent. */
        private final List<Attempt> attempts = new ArrayList<>(2);
        private int attemptsInFlight;
        /** The number of attempts that the balancer has ordered and that have not begun yet. */
        private int attemptsPending;
        /** Whether an attempt has ended after which a server may have run the request. */
        private boolean mayHaveRun;
        /** Whether the request has been answered or its client has disconnected. */
        private boolean finished;
        private Future<?> safetyTimer;

        Request(IncomingRequest incoming, Responder responder) {
            this.incoming = incoming;
            this.responder = responder;
        }
    }

    /** How long after a request's deadline the proxy itself fails it; the delay lets the balancer answer first. */
    private static final long SAFETY_DELAY_US = 2_000;
    /**
     * How often at most the sockets are polled before an attempt begins. A client that still sends data after that many polls is
     * taken to be connected.
     */
    private static final int MAX_POLLS_BEFORE_ATTEMPT = 20;

    private final ProxyClock clock;
    private final EventLoop loop;
    private final EventLog log = new EventLog("proxy");
    private final EventLoopLagMonitor lagMonitor;
    private final Balancer balancer;
    private final ServerConnections serverConnections;
    private final ClaimedRequestIds claimedIds;
    private final Map<String, Request> requests = new HashMap<>();
    private final Queue<Event> events = new ArrayDeque<>();
    private final List<Action> actions = new ArrayList<>();
    private DiscoveryClient discovery;
    private boolean delivering;

    BalancerDriver(ProxyClock clock, EventLoop loop, Balancer balancer, ServerConnections serverConnections) {
        this(clock, loop, balancer, serverConnections, ClaimedRequestIds.ofProcess(System::nanoTime));
    }

    /**
     * Creates a driver.
     *
     * @param claimedIds the ids of requests that must not run twice
     */
    BalancerDriver(ProxyClock clock, EventLoop loop, Balancer balancer, ServerConnections serverConnections, ClaimedRequestIds claimedIds) {
        this.claimedIds = claimedIds;
        this.clock = clock;
        this.loop = loop;
        this.lagMonitor = new EventLoopLagMonitor(clock, loop);
        this.balancer = balancer;
        this.serverConnections = serverConnections;
    }

    /** Sets the discovery client that carries out {@link Balancer.Watch} and {@link Balancer.Fetch}. */
    void setDiscovery(DiscoveryClient client) {
        discovery = client;
    }

    /** Returns the monitor of delays of the event loop. The caller that opens the listener starts it. */
    EventLoopLagMonitor loopMonitor() {
        return lagMonitor;
    }

    /** Returns the time on the proxy's clock, in microseconds. */
    long nowUs() {
        return clock.nowUs();
    }

    /** Returns the number of requests that are unanswered or have attempts in flight. */
    int openRequests() {
        return requests.size();
    }

    /**
     * Claims the id of a request that is about to arrive; the claim ends with the request if no server can have run it.
     *
     * @param mayRunAgain whether a request with an id that has been claimed earlier may be sent all the same
     * @return false if a request with this id is unanswered or has attempts in flight, or one that must not run twice may have run
     */
    boolean claimId(String id, boolean mayRunAgain) {
        return !requests.containsKey(id) && (mayRunAgain || claimedIds.claim(id));
    }

    // Events

    /** Takes a client's request in. Fails it at once if its deadline has passed. */
    void requestArrived(IncomingRequest incoming, Responder responder) {
        var request = new Request(incoming, responder);
        long leftUs = leftUs(request);
        if (leftUs <= 0) {
            releaseIdIfUnused(request);
            responder.fail();
            return;
        }
        requests.put(incoming.id(), request);
        startSafetyTimer(request);
        deliver(new Balancer.Arrival(incoming.id(), incoming.requestClass(), incoming.tenant(), incoming.key(), leftUs,
                incoming.repeat(), incoming.costUs()));
    }

    private long leftUs(Request request) {
        return request.responder.deadlineUs() - clock.nowUs();
    }

    private void startSafetyTimer(Request request) {
        long deadlineUs = request.responder.deadlineUs();
        request.safetyTimer = loop.schedule(() -> failIfOverdue(request, deadlineUs), deadlineUs + SAFETY_DELAY_US - clock.nowUs(),
                TimeUnit.MICROSECONDS);
    }

    /** Ends a request whose client has closed its connection before it had an answer. */
    void clientDisconnected(String id) {
        Request request = requests.get(id);
        if (request != null && !request.finished) {
            finish(request);
            deliver(new Balancer.ClientGone(id));
            removeIfDone(request);
        }
    }

    /**
     * Fails a request that the balancer has not answered, so that every client gets an answer in time; waits again if the deadline has
     * moved on while the request was being received, even if it has passed since, so that a due timeout of an attempt comes first.
     */
    private void failIfOverdue(Request request, long expectedDeadlineUs) {
        if (!request.finished && request.responder.deadlineUs() > expectedDeadlineUs) {
            startSafetyTimer(request);
        } else if (!request.finished) {
            answer(request, Responder::fail);
            deliver(new Balancer.ClientGone(request.incoming.id()));
            removeIfDone(request);
        }
    }

    /** Applies an update of the server list; {@link Balancer.ListKind#FAILED} reports a call to discovery that brought none. */
    void updateServerList(Balancer.ListKind kind, List<ServerConnections.ListedServer> listed) {
        List<Attempt> unsent = kind == Balancer.ListKind.FAILED ? List.of() : serverConnections.applyList(kind, listed);
        deliver(new Balancer.ListUpdate(kind, listed.stream().map(ServerConnections.ListedServer::backend).toList()));
        // The balancer knows the new list by now, so it retries these attempts on other servers.
        unsent.forEach(attempt -> attempt.abort(Outcome.NOT_SENT));
    }

    /** Tells the balancer from when on whatever discovery has counts as published, in microseconds on the proxy's clock. */
    void listIsDue(long atUs) {
        deliver(new Balancer.ListDeadline(atUs));
    }

    /** Passes new settings to the balancer. */
    void settingsChanged(Balancer.Settings settings) {
        deliver(new Balancer.SettingsChanged(settings));
    }

    /** Returns whether a server of this id is listed or excluded, so that operators may name it. */
    boolean isKnownServer(String id) {
        return serverConnections.isKnown(id);
    }

    /** Takes a server out of use, on an operator's order. */
    void excludeServer(String serverId) {
        List<Attempt> unsent = serverConnections.exclude(serverId);
        deliver(new Balancer.Excluded(serverId));
        unsent.forEach(attempt -> attempt.abort(Outcome.NOT_SENT));
    }

    /** Puts an excluded server back into use, on an operator's order. */
    void includeServer(String serverId) {
        serverConnections.include(serverId);
        deliver(new Balancer.Included(serverId));
    }

    /** Reports the progress of one attempt to the balancer, and passes its response to the client. */
    private final class AttemptTracker implements ServerConnections.AttemptListener {
        private final Request request;
        private final int number;
        private final String serverId;

        AttemptTracker(Request request, int number, String serverId) {
            this.request = request;
            this.number = number;
            this.serverId = serverId;
        }

        @Override
        public long deadlineUs() {
            return request.responder.deadlineUs();
        }

        @Override
        public void onBodySendingStarted() {
            deliver(new Balancer.RequestStreamStarted(request.incoming.id(), number));
        }

        @Override
        public void onBodySent() {
            deliver(new Balancer.RequestStreamEnded(request.incoming.id(), number, leftUs(request)));
        }

        @Override
        public void onStreamedResponse(ServerConnections.StreamedResponse stream) {
            if (request.finished) {
                stream.body().cancel();
            } else {
                // The balancer is informed first, so that it no longer counts on this request when the answer causes further events.
                deliver(new Balancer.ResponseStreamStarted(request.incoming.id(), number));
                answer(request, responder -> responder.respondStreaming(stream));
            }
        }

        @Override
        public void onEnded(Outcome outcome, long latencyUs, ServerConnections.BufferedResponse answer) {
            request.attemptsInFlight--;
            request.mayHaveRun |= outcome != Outcome.NOT_SENT && outcome != Outcome.CONNECT_FAILED;
            if (answer != null && !request.finished) {
                answer(request, responder -> responder.respond(answer));
            } else if (answer != null) {
                answer.release();
            }
            deliver(new Balancer.AttemptEnded(request.incoming.id(), number, serverId, outcome, latencyUs, request.finished));
            removeIfDone(request);
        }
    }

    /** Gives the request its one answer. An answer that can't be written becomes a failure, because the request has been accepted. */
    private void answer(Request request, Consumer<Responder> answer) {
        finish(request);
        try {
            answer.accept(request.responder);
        } catch (RuntimeException e) {
            log.error("answer_failed", e, "request", request.incoming.id());
            request.responder.fail();
        }
    }

    private void finish(Request request) {
        request.finished = true;
        if (request.safetyTimer != null) {
            request.safetyTimer.cancel(false);
        }
    }

    private void removeIfDone(Request request) {
        if (request.finished && request.attemptsInFlight + request.attemptsPending == 0
                && requests.remove(request.incoming.id(), request)) {
            releaseIdIfUnused(request);
        }
    }

    private void releaseIdIfUnused(Request request) {
        if (!request.incoming.mayRunAgain() && !request.mayHaveRun) {
            claimedIds.release(request.incoming.id());
        }
    }

    /** Delivers events in order. An event that is caused by an action waits until all actions of the current event are done. */
    private void deliver(Event event) {
        events.add(event);
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            for (Event next = events.poll(); next != null; next = events.poll()) {
                handle(next);
            }
        } finally {
            delivering = false;
        }
    }

    private void handle(Event event) {
        try {
            balancer.handle(clock.nowUs(), event, actions::add);
        } catch (RuntimeException e) {
            log.error("decision_failed", e, "on", event);
            failRequestOf(event);
        }
        for (Action action : actions) {
            try {
                carryOut(action);
            } catch (RuntimeException e) {
                log.error("action_failed", e, "action", action);
            }
        }
        actions.clear();
    }

    /** Fails the request of an event that made the balancer throw, so that the error costs no other request. */
    private void failRequestOf(Event event) {
        String id = event instanceof Balancer.Arrival arrival ? arrival.id()
                : event instanceof Balancer.AttemptEnded end ? end.id() : null;
        if (id != null) {
            answerIfOpen(id, Responder::fail);
        }
    }

    // Actions

    private void carryOut(Action action) {
        if (action instanceof Balancer.Send send) {
            send(send);
        } else if (action instanceof Balancer.SetTimer timer) {
            loop.schedule(() -> deliver(new Balancer.TimerFired(timer.token())), Math.max(0, timer.atUs() - clock.nowUs()),
                    TimeUnit.MICROSECONDS);
        } else if (action instanceof Balancer.Refuse refuse) {
            answerIfOpen(refuse.id(), responder -> responder.refuse(refuse.retryAfterUs()));
        } else if (action instanceof Balancer.Fail fail) {
            answerIfOpen(fail.id(), Responder::fail);
        } else if (action instanceof Balancer.Cancel cancel) {
            Request request = requests.get(cancel.id());
            Attempt attempt = request == null || cancel.attempt() >= request.attempts.size() ? null
                    : request.attempts.get(cancel.attempt());
            if (attempt != null && request.incoming.limits().cancel()) {
                attempt.abort(Outcome.CANCELLED);
            }
        } else if (action instanceof Balancer.Release release) {
            serverConnections.closeIdle(release.backend());
        } else if (action instanceof Balancer.Watch watch) {
            discovery.setWatching(watch.on());
        } else if (action instanceof Balancer.Fetch) {
            discovery.fetchFullList();
        } else if (action instanceof Balancer.Log line) {
            log.info("module", "text", line.text());
        } else {
            // Only probes are left: the balancer orders none, and the platform of this proxy does not allow them.
            throw new UnsupportedOperationException("unsupported action " + action + ": this proxy sends no probes");
        }
    }

    private void answerIfOpen(String id, Consumer<Responder> answer) {
        Request request = requests.get(id);
        if (request != null && !request.finished) {
            answer(request, answer);
            removeIfDone(request);
        }
    }

    /**
     * Prepares the next attempt of a request. If the loop was delayed, or the client's connection has waited to be read, the client's close
     * may be unread: the attempt then waits until the sockets have been polled, because no attempt may begin for a client that has gone.
     */
    private void send(Balancer.Send send) {
        Request request = requests.get(send.id());
        if (request == null) {
            return;
        }
        int number = request.attempts.size();
        request.attempts.add(null);
        request.attemptsPending++;
        if (lagMonitor.isLagging()) {
            lagMonitor.runAfterIoPoll(() -> beginOncePolled(request, number, send, MAX_POLLS_BEFORE_ATTEMPT - 1));
        } else {
            beginOncePolled(request, number, send, MAX_POLLS_BEFORE_ATTEMPT);
        }
    }

    private void beginOncePolled(Request request, int number, Balancer.Send send, int pollsLeft) {
        if (request.finished || !request.responder.mayHaveUnreadClose()) {
            begin(request, number, send, true);
            return;
        }
        boolean hidesClose = request.responder.readAhead();
        if (pollsLeft > 0) {
            lagMonitor.runAfterIoPoll(() -> beginOncePolled(request, number, send, pollsLeft - 1));
        } else {
            begin(request, number, send, !hidesClose);
        }
    }

    /**
     * Begins an attempt.
     *
     * @param maySend whether the client is known to be connected, as far as its input shows; if not, nothing is sent
     */
    private void begin(Request request, int number, Balancer.Send send, boolean maySend) {
        if (!request.finished && !request.responder.isClientConnected()) {
            clientDisconnected(send.id());
        }
        request.attemptsPending--;
        Attempt attempt = request.finished || !maySend ? null : createAttempt(request, number, send);
        request.attempts.set(number, attempt);
        if (attempt == null) {
            deliver(new Balancer.AttemptEnded(send.id(), number, send.backend(), Outcome.NOT_SENT, 0, request.finished));
            removeIfDone(request);
        } else {
            request.attemptsInFlight++;
            attempt.start();
        }
    }

    /** Returns an attempt that may be started, or null if the limits, the time left or the server don't allow one. */
    private Attempt createAttempt(Request request, int number, Balancer.Send send) {
        long leftUs = leftUs(request);
        long timeoutUs = send.timeoutUs() == 0 ? leftUs : Math.min(send.timeoutUs(), leftUs);
        Balancer.Limits limits = request.incoming.limits();
        return number >= limits.maxAttempts() || timeoutUs <= 0 || request.attemptsInFlight > 0 && !limits.hedging() ? null
                : serverConnections.newAttempt(send.backend(), request.incoming.outgoing(), timeoutUs, send.sendByUs(),
                        new AttemptTracker(request, number, send.backend()));
    }
}

package walkpost.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One call to discovery with its parallel hedge calls, at the times of {@link ListCallTiming}; the first valid response ends all of them.
 * Used on the event loop only.
 */
final class HedgedListCall {
    /** Sends the requests of the call, and is told how it ended, on the event loop. */
    interface Owner {
        /** Sends a request to discovery; returns an action that ends it. */
        Runnable send(String uri, ListRequest.Callback callback);

        /** Returns the version of the list that the proxy has now. */
        ListVersion version();

        /** Returns the time until the next deadline for the list, in microseconds ({@link walkpost.ListDeadlines#leftUs}). */
        long deadlineLeftUs();

        /** Returns a random number of this proxy from 0 to 1. */
        double nextRandom();

        /**
         * Called when a list was received; the call has ended.
         *
         * @param atCallStart the version that was current when the request was sent
         * @param tookMs the time from the start of the call to the response
         */
        void onListReceived(HedgedListCall call, ListVersion atCallStart, JsonNode list, long tookMs);

        /** Called when all requests of the call have failed; the call has ended. */
        void onCallFailed(HedgedListCall call, CallFailure failure);
    }

    private static final String PATH = "/v1/endpoints";

    private final EventLoop loop;
    private final EventLog log;
    private final Owner owner;
    private final ListCallTiming timing;
    private final boolean watching;
    private final ListCallTiming.CallSchedule schedule;
    private final long startedNs;
    private final List<Runnable> requestEnders = new ArrayList<>(1);
    private final List<Future<?>> timers = new ArrayList<>(1);
    private int openRequests;
    /** The number of requests of this call that this machine could not make, and the time of the first. */
    private int localFailures;
    private long firstLocalFailureNs;
    /** The number of failed hedge requests that were repeated. */
    private int hedgeRetries;
    private boolean ended;

    /**
     * Creates a call that is not started.
     *
     * @param watching whether changes suffice as the response, if the proxy has a list
     * @param waitMs how long discovery is to wait for changes before it responds
     */
    HedgedListCall(EventLoop loop, EventLog log, Owner owner, ListCallTiming timing, boolean watching, long waitMs) {
        this.loop = loop;
        this.log = log;
        this.owner = owner;
        this.timing = timing;
        this.watching = watching;
        schedule = timing.schedule(waitMs);
        startedNs = loop.ticker().nanoTime();
    }

    /** Sends the first request, and sets the timers of the others. */
    HedgedListCall start() {
        schedule.hedgeAfterMs().forEach(afterMs -> runAfter(afterMs, this::hedge));
        // If discovery is cut off and silent, or its response never ends, TCP alone would never report it.
        runAfter(schedule.timeoutMs(), () -> fail(CallFailure.UNREACHABLE, "no response within " + schedule.timeoutMs() + " ms"));
        sendRequest(schedule.waitMs());
        return this;
    }

    /** Returns how long discovery was to wait for changes, in milliseconds. */
    long waitMs() {
        return schedule.waitMs();
    }

    private void hedge() {
        log.warn("asked_again", "after_ms", ageMs(), "waiting_ms", schedule.waitMs());
        sendRequest(0);
    }

    /** Sends a hedge call if this call may not be answered before a deadline that is {@code leftMs} ahead. */
    void hedgeBeforeDeadline(long leftMs) {
        if (timing.needsDeadlineHedge(schedule, ageMs(), leftMs)) {
            hedge();
        }
    }

    private long ageMs() {
        return TimeUnit.NANOSECONDS.toMillis(loop.ticker().nanoTime() - startedNs);
    }

    private void runAfter(long delayMs, Runnable action) {
        timers.add(loop.schedule(action, delayMs, TimeUnit.MILLISECONDS));
    }

    private void sendRequest(long waitMs) {
        boolean isHedge = openRequests++ > 0;
        ListVersion atCallStart = owner.version();
        boolean changesOnly = watching && atCallStart.hasList();
        String uri = changesOnly ? PATH + "?from=" + atCallStart.number() + "&hold_ms=" + waitMs : PATH;
        requestEnders.add(owner.send(uri, new ListRequest.Callback() {
            @Override
            public void received(JsonNode list) {
                if (!changesOnly && !list.path("full").asBoolean()) {
                    failed(CallFailure.REJECTED, "the response contains changes, but the full list was requested");
                } else if (!ended) {
                    end();
                    owner.onListReceived(HedgedListCall.this, atCallStart, list, ageMs());
                }
            }

            @Override
            public void failed(CallFailure failure, String reason) {
                onRequestFailed(failure, reason, isHedge, waitMs);
            }
        }));
    }

    /**
     * Handles a failed request. The call fails only if no other request is open. A failed hedge is repeated, because the first request,
     * which is overdue by then, is probably silent.
     */
    private void onRequestFailed(CallFailure failure, String reason, boolean isHedge, long waitMs) {
        openRequests--;
        long retryMs = failure == CallFailure.LOCAL ? localRetryMs() : DiscoveryRetryPolicy.USE_BACK_OFF;
        if (retryMs != DiscoveryRetryPolicy.USE_BACK_OFF) {
            log.warn("call_not_made", "reason", reason, "again_in_ms", retryMs);
            runAfter(retryMs, () -> sendRequest(waitMs));
        } else if (openRequests == 0) {
            fail(failure, reason);
        } else if (isHedge) {
            runAfter(timing.hedgeRetryMs(hedgeRetries++, owner.nextRandom(), owner.deadlineLeftUs()), () -> sendRequest(0));
        }
    }

    private long localRetryMs() {
        long nowNs = loop.ticker().nanoTime();
        firstLocalFailureNs = localFailures == 0 ? nowNs : firstLocalFailureNs;
        return DiscoveryRetryPolicy.localRetryMs(localFailures++, TimeUnit.NANOSECONDS.toMillis(nowNs - firstLocalFailureNs));
    }

    private void fail(CallFailure failure, String reason) {
        if (!ended) {
            end();
            log.warn("call_failed", "kind", failure, "reason", reason, "version", owner.version().number());
            owner.onCallFailed(this, failure);
        }
    }

    /** Ends all requests and timers of this call; no result is delivered after that. */
    void end() {
        ended = true;
        timers.forEach(timer -> timer.cancel(false));
        requestEnders.forEach(Runnable::run);
    }
}

package walkpost.proxy;

import walkpost.Balancer;
import walkpost.Balancer.ListKind;
import walkpost.ListDeadlines;
import walkpost.proxy.ListVersion.Verdict;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Requests the list of servers from discovery. A watch is a sequence of long polls, each started as soon as the previous one is answered.
 * A call without a response is hedged by parallel calls at the times of {@link ListCallTiming}. If all of them fail the watch ends and the
 * balancer is notified, which then reopens the watch with an increasing back-off. A response that a newer list has overtaken is dropped
 * ({@link ListVersion}). At most eight descriptors are in use: a watch and a call for the full list may be open at once, with up to four
 * connections each. All methods run on the event loop.
 */
final class DiscoveryClient {
    /** Is notified of each list that was applied, on the event loop. */
    interface ListObserver {
        /**
         * Called when a list was applied.
         *
         * @param kind {@link ListKind#CACHED} for a full list that discovery did not give this process, or {@link ListKind#FULL} or
         *     {@link ListKind#DELTA}
         * @param discovery the address of discovery
         * @param version discovery's number of the list; negative if the next call must request the full list
         * @param entries the valid entries of the list
         */
        void onListApplied(ListKind kind, InetSocketAddress discovery, long version, List<ServerListEntry> entries);
    }

    /**
     * How long a starting proxy waits for its first call before it serves with the list of its previous run. If many proxies start at once,
     * discovery answers them one after the other, and a proxy that waits does not serve its clients.
     */
    static final long INITIAL_WAIT_MS = 300;
    /** The pause before the next call after a response that came early and without changes. */
    private static final long NO_CHANGE_PAUSE_MS = 50;

    private final EventLoop loop;
    private final EventLog log = new EventLog("discovery");
    private final BalancerDriver balancerDriver;
    private final ListRequest.Factory requestFactory;
    /** Whether an agent on this machine pushes lists; if not, they are requested from a service that all proxies share. */
    private boolean pushed;
    private ListCallTiming timing;
    private final SplittableRandom random;
    private InetSocketAddress address;
    private boolean watchWanted;
    /** The open call of the watch, and the open call for the full list; null if there is none. */
    private HedgedListCall watchCall;
    private HedgedListCall fullListCall;
    private ListVersion version = ListVersion.NONE;
    private boolean initialWaitOver;
    private boolean hasListFromDiscovery;
    private ListObserver listObserver = (kind, discovery, number, entries) -> { };
    private final DiscoveryRetryPolicy retryPolicy = new DiscoveryRetryPolicy();
    private final ServerStartTimes startTimes = new ServerStartTimes();
    private final ListDeadlines deadlines = new ListDeadlines();
    private final CallOwner callOwner = new CallOwner();

    DiscoveryClient(EventLoop loop, ChannelFactory<Channel> transport, BalancerDriver balancerDriver, InetSocketAddress address,
            Balancer.Settings settings) {
        this(loop, balancerDriver, address, settings,
                (server, uri, connectTimeoutMs, callback) ->
                        new ListRequest(loop, transport, server, uri, connectTimeoutMs, callback)::end);
    }

    DiscoveryClient(EventLoop loop, BalancerDriver balancerDriver, InetSocketAddress address, Balancer.Settings settings,
            ListRequest.Factory requestFactory) {
        this.loop = loop;
        this.balancerDriver = balancerDriver;
        this.requestFactory = requestFactory;
        this.address = address;
        this.random = new SplittableRandom(settings.seed());
        setTiming(settings);
    }

    /**
     * Applies changed settings. If lists are pushed from now on, this opens the watch at once, because a balancer that intended to reopen
     * it no longer does.
     */
    void applySettings(Balancer.Settings settings) {
        setTiming(settings);
        if (pushed) {
            setWatching(true);
        }
    }

    private void setTiming(Balancer.Settings settings) {
        pushed = !settings.limits().listOnRequest();
        timing = new ListCallTiming(pushed, settings.rules().requestListWithinUs() / 1_000);
    }

    /** Returns whether the first call has ended or was waited for long enough, so that the proxy should serve with the list it has. */
    boolean isInitialWaitOver() {
        return initialWaitOver;
    }

    /** Returns whether discovery has given this process a list. */
    boolean hasListFromDiscovery() {
        return hasListFromDiscovery;
    }

    /** Sets who is notified of lists. Called before the start. */
    void setListObserver(ListObserver observer) {
        listObserver = observer;
    }

    /** Starts with the list that another process of this proxy has stored, as {@link #start(JsonNode)} does. */
    void startWith(StoredServerList stored) {
        start(stored.discovery().equals(address) ? stored.version() : ListVersion.NONE.number(), stored.entries());
    }

    /** Starts with the list of this proxy's previous run, null if there is none; it is the first list that the balancer gets. */
    void start(JsonNode lastKnownList) {
        if (lastKnownList == null) {
            start(ListVersion.NONE.number(), List.of());
        } else {
            start(lastKnownList.path("version").asLong(ListVersion.NONE.number()), validEntries(lastKnownList));
        }
    }

    private void start(long number, List<ServerListEntry> entries) {
        version = new ListVersion(version.epoch(), number);
        loop.schedule(() -> initialWaitOver = true, INITIAL_WAIT_MS, TimeUnit.MILLISECONDS);
        apply(ListKind.CACHED, entries);
        if (pushed) {
            setWatching(true);
        }
    }

    /** Applies a list that another process of this proxy got from discovery, unless discovery has given this process a list. */
    void adopt(StoredServerList stored) {
        if (hasListFromDiscovery) {
            return;
        }
        if (stored.discovery().equals(address)) {
            version = version.adopt(stored.version());
        } else if (version.hasList()) {
            // The numbers of another discovery say nothing at this address. A call for the full list that is open stays valid.
            version = version.startEpoch();
        }
        log.info("list_adopted", "version", stored.version(), "servers", stored.entries().size());
        apply(ListKind.CACHED, stored.entries());
    }

    /** Opens the watch or closes it; a watch that is open already continues unchanged. */
    void setWatching(boolean on) {
        watchWanted = on;
        if (!on && watchCall != null) {
            watchCall.end();
            watchCall = null;
        } else if (on && watchCall == null) {
            // The first call does not wait for changes, so that changes missed so far, or the fact that there are none, arrive at once.
            watchCall = startCall(true, 0);
        }
    }

    /**
     * Sets a time from which whatever discovery has counts as published to this proxy.
     *
     * @param dueAtUs the time on the proxy's clock, in microseconds
     */
    void setListDue(long dueAtUs) {
        long nowUs = balancerDriver.nowUs();
        deadlines.add(dueAtUs, nowUs);
        balancerDriver.listIsDue(dueAtUs);
        long beforeMs = timing.deadlineHedgeBeforeMs(random.nextDouble());
        loop.schedule(() -> hedgeOpenCalls(beforeMs), TimeUnit.MICROSECONDS.toMillis(dueAtUs - nowUs) - beforeMs, TimeUnit.MILLISECONDS);
    }

    private void hedgeOpenCalls(long leftMs) {
        if (watchCall != null) {
            watchCall.hedgeBeforeDeadline(leftMs);
        }
        if (fullListCall != null) {
            fullListCall.hedgeBeforeDeadline(leftMs);
        }
    }

    /**
     * Continues at another address of discovery. The old one is about to close its connections, so open calls are ended and repeated at
     * the new address, which is asked for the full list regardless of the current one.
     */
    void changeAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        retryPolicy.reset();
        version = version.startEpoch();
        boolean watching = watchWanted;
        setWatching(false);
        setWatching(watching);
        if (fullListCall != null) {
            fetchFullList();
        }
    }

    /** Requests the full list once. An open request is replaced, because its response may be older than this call. */
    void fetchFullList() {
        if (fullListCall != null) {
            fullListCall.end();
        }
        fullListCall = startCall(false, 0);
    }

    private void onCallFailed(HedgedListCall call, CallFailure failure) {
        initialWaitOver = true;
        boolean watching = call == watchCall;
        if (watching) {
            watchCall = null;
        } else {
            fullListCall = null;
        }
        notifyOrRetryAgent();
        long retryMs = watching ? retryPolicy.watchRetryMs(failure, random.nextDouble()) : DiscoveryRetryPolicy.USE_BACK_OFF;
        if (retryMs != DiscoveryRetryPolicy.USE_BACK_OFF) {
            loop.schedule(() -> setWatching(watchWanted), retryMs, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Handles a response with a list.
     *
     * @param atCallStart the version that was current when the request was sent
     * @param tookMs the time from the start of the call to the response
     */
    private void onListReceived(HedgedListCall call, ListVersion atCallStart, JsonNode list, long tookMs) {
        initialWaitOver = true;
        retryPolicy.reset();
        long number = list.path("version").asLong();
        boolean full = list.path("full").asBoolean();
        Verdict verdict = version.judge(atCallStart, number, full);
        boolean changed = verdict == Verdict.TAKE && (number > version.number() && !list.path("servers").isEmpty());
        if (verdict != Verdict.TAKE) {
            log.warn("list_out_of_order", "version", number, "full", full, "holding", version.number(), "verdict", verdict);
        }
        version = version.after(verdict, number);
        List<ServerListEntry> entries = validEntries(list);
        if (verdict == Verdict.TAKE && !full && entries.size() < list.path("servers").size()) {
            // A malformed entry is a lost change, which may have been a drain: only the full list can replace it.
            version = version.startEpoch();
        }
        if (call != watchCall) {
            fullListCall = null;
            if (verdict == Verdict.OVERTAKEN) {
                fetchFullList();
            }
        } else if (changed || tookMs >= call.waitMs() / 2 && verdict == Verdict.TAKE) {
            // The next call starts before the changes are applied, because a watch counts as ended 200 ms after its last response.
            continueWatch(call);
        } else {
            // Without a pause, a discovery that responds at once without changes would be called as fast as the CPU allows.
            loop.schedule(() -> continueWatch(call), NO_CHANGE_PAUSE_MS, TimeUnit.MILLISECONDS);
        }
        if (verdict == Verdict.TAKE || verdict == Verdict.TAKE_ANEW) {
            hasListFromDiscovery = true;
            ListKind kind = full ? ListKind.FULL : ListKind.DELTA;
            apply(kind, entries);
            startTimes.listApplied(balancerDriver.nowUs());
        } else {
            observeStarts(entries);
        }
    }

    /** Starts the next call of the watch, unless the watch was closed or replaced meanwhile. */
    private void continueWatch(HedgedListCall answeredCall) {
        if (watchCall == answeredCall) {
            // A call for the full list is answered at once, so it does not wait.
            watchCall = startCall(true,
                    version.hasList() ? timing.randomWaitMs(answeredCall.waitMs() == 0, random.nextDouble()) : 0);
        }
    }

    /** Notifies the balancer, which decides when to call again; but if an agent on this machine pushes lists, reopens the watch soon. */
    private void notifyOrRetryAgent() {
        if (pushed) {
            loop.schedule(() -> setWatching(watchWanted), timing.agentRetryMs(), TimeUnit.MILLISECONDS);
        } else {
            balancerDriver.updateServerList(ListKind.FAILED, List.of());
        }
    }

    /** Returns the valid entries of a list and logs the others. */
    private List<ServerListEntry> validEntries(JsonNode list) {
        var valid = new ArrayList<ServerListEntry>();
        for (JsonNode json : list.path("servers")) {
            ServerListEntry entry = ServerListEntry.parse(json);
            if (entry == null) {
                log.warn("entry_left_out", "reason", "malformed", "entry", json);
            } else {
                valid.add(entry);
            }
        }
        return valid;
    }

    /** Passes a list on to the balancer, with the start times of its servers on the proxy's clock. */
    private void apply(ListKind kind, List<ServerListEntry> entries) {
        observeStarts(entries);
        long nowUs = balancerDriver.nowUs();
        balancerDriver.updateServerList(kind, entries.stream().map(entry -> onProxyClock(entry, nowUs)).toList());
        listObserver.onListApplied(kind, address, version.number(), entries);
    }

    private void observeStarts(List<ServerListEntry> entries) {
        long nowUs = balancerDriver.nowUs();
        entries.forEach(entry -> startTimes.observeStart(entry.startedMs(), nowUs));
    }

    private ServerConnections.ListedServer onProxyClock(ServerListEntry entry, long nowUs) {
        return new ServerConnections.ListedServer(new Balancer.Backend(entry.id(), entry.state(), entry.kind(), entry.zone(),
                entry.cell(), startTimes.onProxyClockUs(entry.id(), entry.startedMs(), nowUs), entry.weight()), entry.address());
    }

    private HedgedListCall startCall(boolean watching, long waitMs) {
        return new HedgedListCall(loop, log, callOwner, timing, watching, waitMs).start();
    }

    /** Sends the requests of calls, and takes their results. */
    private final class CallOwner implements HedgedListCall.Owner {
        @Override
        public Runnable send(String uri, ListRequest.Callback callback) {
            return requestFactory.send(address, uri, timing.connectTimeoutMs(), callback);
        }

        @Override
        public ListVersion version() {
            return version;
        }

        @Override
        public long deadlineLeftUs() {
            return deadlines.leftUs(balancerDriver.nowUs());
        }

        @Override
        public double nextRandom() {
            return random.nextDouble();
        }

        @Override
        public void onListReceived(HedgedListCall call, ListVersion atCallStart, JsonNode list, long tookMs) {
            DiscoveryClient.this.onListReceived(call, atCallStart, list, tookMs);
        }

        @Override
        public void onCallFailed(HedgedListCall call, CallFailure failure) {
            DiscoveryClient.this.onCallFailed(call, failure);
        }
    }
}

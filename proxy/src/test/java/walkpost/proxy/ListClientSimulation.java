package walkpost.proxy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import walkpost.Balancer;
import walkpost.Balancer.ListKind;
import walkpost.Policy;

/**
 * Runs discovery clients with the balancer of production on a clock that the test advances. The test plays discovery: it gets each call and
 * lets it fail or answers it. Times are in milliseconds from the start.
 */
final class ListClientSimulation {
    static final InetSocketAddress OLD_ADDRESS = new InetSocketAddress("127.0.0.1", 1);
    private final long stepMs;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ProxyClock clock = new ProxyClock(() -> TimeUnit.MILLISECONDS.toNanos(nowMs()));
    private final Consumer<Call> discovery;
    private long nowMs;

    /** Creates a simulation in which {@code discovery} is handed each call, and the clock goes on by {@code stepMs} at a time. */
    ListClientSimulation(Consumer<Call> discovery, long stepMs) {
        this.stepMs = stepMs;
        this.discovery = discovery;
        channel.freezeTime();
    }

    long nowMs() {
        return nowMs;
    }

    /** Runs until a time. */
    void runUntil(long untilMs) {
        while (nowMs < untilMs) {
            nowMs += stepMs;
            channel.advanceTimeBy(stepMs, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
        }
    }

    /** Runs an action after a delay. */
    void runAfter(long delayMs, Runnable action) {
        channel.eventLoop().schedule(action, delayMs, TimeUnit.MILLISECONDS);
    }

    void close() {
        channel.finishAndReleaseAll();
    }

    /** Returns a configuration with a seed, the time within which the list must be requested, and whether lists are pushed. */
    static Config config(long seed, long askWithinMs, boolean pushed) {
        try {
            ObjectNode json = ProxyFixture.config().put("seed", "%016x".formatted(seed));
            ((ObjectNode) json.path("settings").path("invariants")).put("must_ask_in_us", askWithinMs * 1_000);
            ((ObjectNode) json.path("settings")).put("registry_mode", pushed ? "pushed" : "on_request");
            return Config.parse(json);
        } catch (IOException | Config.InvalidConfigException e) {
            throw new AssertionError(e);
        }
    }

    /** One proxy, as far as it deals with lists. */
    final class Proxy {
        private final BalancerDriver driver;
        private final DiscoveryClient client;
        private final Set<Call> openCalls = new HashSet<>();
        final List<Long> callTimesMs = new ArrayList<>();
        private final List<Long> listTimesMs = new ArrayList<>();
        private final List<Long> fullListTimesMs = new ArrayList<>();
        int maxOpenCalls;

        Proxy(Config config) {
            var connections = new ServerConnections(clock, channel.eventLoop(), EmbeddedChannel::new, new ConnectionBudget(256),
                    new MemoryBudget(Long.MAX_VALUE), 1, 1);
            var policy = new Policy(config.settings());
            driver = new BalancerDriver(clock, channel.eventLoop(), (now, event, actions) -> {
                if (event instanceof Balancer.ListUpdate update && (update.kind() == ListKind.FULL || update.kind() == ListKind.DELTA)) {
                    listTimesMs.add(nowMs);
                    if (update.kind() == ListKind.FULL) {
                        fullListTimesMs.add(nowMs);
                    }
                }
                policy.handle(now, event, actions);
            }, connections);
            client = new DiscoveryClient(channel.eventLoop(), driver, OLD_ADDRESS, config.settings(),
                    (address, uri, connectTimeoutMs, callback) -> new Call(this, address, uri, connectTimeoutMs, callback)::end);
            driver.setDiscovery(client);
            client.start(config.lastKnownList());
        }

        /** Takes a signal to reload, as {@link Serve} does. */
        void reload(Config config, InetSocketAddress address) {
            reload(config, address, true);
        }

        /** Takes a signal to reload, with its deadline for the list or without. */
        void reload(Config config, InetSocketAddress address, boolean withDeadline) {
            if (withDeadline) {
                client.setListDue(clock.nowUs() + TimeUnit.MILLISECONDS.toMicros(ListCallTiming.LIST_DUE_AFTER_SIGNAL_MS));
            }
            client.applySettings(config.settings());
            driver.settingsChanged(config.settings());
            client.changeAddress(address);
        }

        /** Becomes ready as the new process of an upgrade, as {@link Serve} does. */
        void becomeReady() {
            if (!client.hasListFromDiscovery()) {
                client.setListDue(clock.nowUs() + TimeUnit.MILLISECONDS.toMicros(ListCallTiming.LIST_DUE_AFTER_READY_MS));
            }
        }

        void fetchFullList() {
            client.fetchFullList();
        }

        /** Returns when the first full list after a time has arrived; a maximum if none has. */
        long firstFullListAfterMs(long fromMs) {
            return fullListTimesMs.stream().filter(atMs -> atMs >= fromMs).findFirst().orElse(Long.MAX_VALUE);
        }

        /** Returns when the first list after a time has arrived; a maximum if none has. */
        long firstListAfterMs(long fromMs) {
            return listTimesMs.stream().filter(atMs -> atMs >= fromMs).findFirst().orElse(Long.MAX_VALUE);
        }
    }

    /** One call to discovery. */
    final class Call {
        private static final String HOLD = "hold_ms=";
        private final Proxy proxy;
        private final ListRequest.Callback callback;
        final InetSocketAddress address;
        final String uri;
        final int connectTimeoutMs;

        private Call(Proxy proxy, InetSocketAddress address, String uri, int connectTimeoutMs, ListRequest.Callback callback) {
            this.proxy = proxy;
            this.address = address;
            this.uri = uri;
            this.connectTimeoutMs = connectTimeoutMs;
            this.callback = callback;
            proxy.callTimesMs.add(nowMs);
            proxy.openCalls.add(this);
            proxy.maxOpenCalls = Math.max(proxy.maxOpenCalls, proxy.openCalls.size());
            discovery.accept(this);
        }

        boolean isOpen() {
            return proxy.openCalls.contains(this);
        }

        private void end() {
            proxy.openCalls.remove(this);
        }

        /** Returns how long the call waits for changes; 0 if it is to be answered at once. */
        long holdMs() {
            int at = uri.indexOf(HOLD);
            return at < 0 ? 0 : Long.parseLong(uri.substring(at + HOLD.length()));
        }

        /** Lets the call fail after a delay. */
        void failAfter(long delayMs, CallFailure failure) {
            endAfter(delayMs, () -> callback.failed(failure, "simulated"));
        }

        /** Answers the call after a delay: with the full list if it asks for that, else without changes. */
        void respondAfter(long delayMs, long version) {
            endAfter(delayMs, () -> {
                try {
                    callback.received(Config.JSON.readTree(ProxyFixture.serverList(version, !uri.contains("from="))));
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        }

        private void endAfter(long delayMs, Runnable ending) {
            runAfter(delayMs, () -> {
                if (isOpen()) {
                    end();
                    ending.run();
                }
            });
        }
    }
}

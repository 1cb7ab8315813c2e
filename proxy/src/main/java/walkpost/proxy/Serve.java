package walkpost.proxy;

import walkpost.Balancer;
import walkpost.Policy;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.internal.PlatformDependent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/** Runs one proxy process: wires its components, starts them, reloads the configuration on SIGHUP and shuts down gracefully. */
public final class Serve {
    /** How often the start checks whether the proxy is ready to accept clients. */
    private static final long READY_CHECK_INTERVAL_MS = 10;
    /** What peers make the process hold may take one eighth of the memory, because the process itself needs more than a third of it. */
    private static final int HELD_MEMORY_DIVISOR = 8;
    /** It may take three eighths of the heap and half of the direct memory, whatever the settings say. */
    private static final double HELD_HEAP_SHARE = 3.0 / 8;
    private static final double HELD_DIRECT_SHARE = 0.5;
    /** How long the start waits for a server to send to. It then accepts clients anyway, because no other proxy may be there. */
    private static final long READY_TIMEOUT_MS = 5_000;
    /**
     * How long after its start the new process of an upgrade waits for a list from discovery while the old one serves. The platform allows
     * 6 s from the start of the process until it is ready.
     */
    private static final long LIST_WAIT_MS = 3_000;
    /** The subdirectory of the writable directory that stores the exclusions ordered at this proxy's operator endpoint. */
    private static final String EXCLUDED = "excluded";
    /** The subdirectory of the writable directory that stores the exclusions ordered through the fleet. */
    private static final String EXCLUDED_BY_FLEET = "excluded-by-fleet";
    /** The file in the writable directory with the ids of requests that must not run twice. */
    private static final String REQUEST_IDS = "request-ids";
    private volatile Config config;
    private final ProcessEnvironment environment;
    private final EventLog log = new EventLog("serve");
    private final ProxyClock clock;
    private final SystemCallFailureCounter failures = new SystemCallFailureCounter();
    private final FatalErrors fatalErrors = new FatalErrors();
    private final FaultTolerantIoHandlerFactory ioHandlers = new FaultTolerantIoHandlerFactory(NioIoHandler.newFactory(), failures);
    private final EventLoop loop;
    private final BalancerDriver balancerDriver;
    private final DiscoveryClient discovery;
    private final Frontend frontend;
    private final ServerConnections serverConnections;
    private final ExcludedServers excludedServers;
    private final ExclusionStore exclusions;
    private final GracefulShutdown shutdown;
    /** Null unless other processes of this proxy may serve over the same listening socket. */
    private final ListHandover handover;
    private final long startedAtUs;
    /** The proxy's membership in the fleet; null if it is in no fleet. */
    private volatile FleetAccess fleet;

    Serve(Config config, ProcessEnvironment environment) {
        this(config, environment, new Policy(config.settings()));
    }

    Serve(Config config, ProcessEnvironment environment, Balancer balancer) {
        this(config, environment, new ProxyClock(), balancer);
    }

    Serve(Config config, ProcessEnvironment environment, ProxyClock clock, Balancer balancer) {
        this.config = config;
        this.clock = clock;
        this.environment = environment;
        startedAtUs = clock.nowUs();
        if (sharesListener()) {
            EventLog.reopenErrorStream();
        }
        loop = newLoop(ioHandlers, fatalErrors);
        var settings = config.settings();
        // MAX_DESCRIPTORS is a compile-time constant, so reading it loads no class of the fleet.
        int descriptors = config.sockets() - (environment.fleetOpener() == null ? 0 : ProxyFleetMember.MAX_DESCRIPTORS);
        var connectionBudget = sharesListener() ? ConnectionBudget.forSharedLimit(descriptors) : new ConnectionBudget(descriptors);
        var memoryBudget = new MemoryBudget(memoryLimitBytes(config.memoryBytes()), loop);
        fatalErrors.setMemoryRelief(memoryBudget::closeAllUnfinished);
        serverConnections = new ServerConnections(clock, loop, () -> new RetryingSocketChannel(failures), connectionBudget, memoryBudget,
                config.connIdleUs(), config.connectTimeoutUs());
        balancerDriver = new BalancerDriver(clock, loop, balancer, serverConnections, claimedIds());
        discovery = new DiscoveryClient(loop, () -> new RetryingSocketChannel(failures), balancerDriver, config.discovery(), settings);
        balancerDriver.setDiscovery(discovery);
        frontend = new Frontend(balancerDriver, connectionBudget, memoryBudget, settings, this::canServe);
        shutdown = new GracefulShutdown(clock, loop, frontend, balancerDriver.loopMonitor(), sharesListener(), config.name());
        excludedServers = new ExcludedServers(balancerDriver);
        exclusions = new ExclusionStore(loop, excludedServers, environment.tempDir().resolve(EXCLUDED), "operators");
        handover = sharesListener() ? openHandover() : null;
    }

    private ListHandover openHandover() {
        var opened = new ListHandover(loop, config, environment.tempDir(),
                () -> TimeUnit.MICROSECONDS.toNanos(config.settings().rules().coldUs()));
        discovery.setListObserver(opened);
        excludedServers.setInclusionObserver(opened::onIncluded);
        return opened;
    }

    /** Returns the ids that must not run twice; in an upgrade both processes share them. */
    private ClaimedRequestIds claimedIds() {
        if (sharesListener()) {
            try {
                return ClaimedRequestIds.inFile(environment.tempDir().resolve(REQUEST_IDS), System::nanoTime);
            } catch (IOException e) {
                log.warn("request_ids_not_shared", "reason", e);
            }
        }
        return ClaimedRequestIds.ofProcess(System::nanoTime);
    }

    /** Returns how much of the memory in the settings peers may make the process hold; two processes that share it get a half each. */
    private long memoryLimitBytes(long memoryBytes) {
        double ofProcess = Math.min(Runtime.getRuntime().maxMemory() * HELD_HEAP_SHARE,
                PlatformDependent.maxDirectMemory() * HELD_DIRECT_SHARE);
        double limit = Math.min((double) memoryBytes / HELD_MEMORY_DIVISOR, ofProcess);
        return (long) (sharesListener() ? limit / 2 : limit);
    }

    private static EventLoop newLoop(FaultTolerantIoHandlerFactory ioHandlers, FatalErrors fatalErrors) {
        try {
            return new StartupRetry().callWithRetry("event loop",
                    () -> new ResilientEventLoopGroup(ioHandlers, fatalErrors::onLoopError).next());
        } catch (RuntimeException e) {
            throw e;
        } catch (Exception e) {
            throw new IllegalStateException("can't create the event loop", e);
        }
    }

    /**
     * Serves until the process gets SIGTERM.
     *
     * @param args not used: the proxy is configured by the file that {@code PROXY_CONFIG} names and by environment variables
     */
    public static void main(String[] args) {
        try {
            Path configFile = configFile();
            Config config = Config.read(configFile);
            Serve serve = new Serve(config, ProcessEnvironment.of(System.getenv(), config));
            serve.fatalErrors.watchThreads();
            serve.start();
            int requests = Warmup.requestCount(config.settings(), config.cores());
            if (requests > 0) {
                serve.warmUp(requests);
            }
            Signals.handle("HUP", () -> serve.reconfigure(configFile));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                boolean orderly = serve.drain();
                // Halts without an orderly exit, because every request is answered and nothing is left to clean up.
                Runtime.getRuntime().halt(orderly ? 0 : FatalErrors.EXIT_STATUS);
            }, "drain"));
            serve.listen();
        } catch (Config.InvalidConfigException e) {
            exit(e);
        }
    }

    /** Starts, warms up, listens and stops a proxy, so that the build can record the classes of a start in a class data archive. */
    public static void trainClassDataArchive() {
        try {
            Config config = Config.read(configFile());
            // The fleet is left out, because all proxies use the archive and few are in a fleet.
            var environment = new HashMap<>(System.getenv());
            environment.remove(ProcessEnvironment.FLEET_VARIABLE);
            Serve serve = new Serve(config, ProcessEnvironment.of(environment, config));
            serve.start();
            serve.warmUp(Warmup.MAX_REQUESTS);
            serve.listen();
            serve.stop();
            trainUpgrade(config);
        } catch (Config.InvalidConfigException e) {
            exit(e);
        }
    }

    private static void trainUpgrade(Config config) {
        try {
            Path directory = Files.createTempDirectory("training");
            ListHandover.trainClassDataArchive(config, directory);
            try (var files = Files.newDirectoryStream(directory)) {
                for (Path file : files) {
                    Files.delete(file);
                }
            }
            Files.delete(directory);
        } catch (IOException e) {
            new EventLog("serve").warn("upgrade_not_trained", "reason", e);
        }
    }

    private static Path configFile() throws Config.InvalidConfigException {
        String file = System.getenv("PROXY_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new Config.InvalidConfigException("PROXY_CONFIG is not set; set it to the path of the configuration file");
        }
        return Path.of(file);
    }

    private void warmUp(int requests) {
        int answered = Warmup.run(config.settings(), requests, environment.tempDir(), Warmup.CLIENTS, Warmup.FIRST_ANSWER_TIMEOUT_MS,
                Warmup.TIMEOUT_MS);
        log.info("warmed_up", "requests", answered);
    }

    private static void exit(Config.InvalidConfigException e) {
        new EventLog("serve").error("bad_configuration", e);
        // Halts at once, because the proxy has not accepted any client that it would have to drain.
        Runtime.getRuntime().halt(2);
    }

    /**
     * Loads the last known servers, joins the fleet and opens the operator endpoint.
     *
     * @return the address of the operator endpoint, or null if there is none
     */
    InetSocketAddress start() throws Config.InvalidConfigException {
        startDiscovery();
        if (environment.fleetOpener() != null) {
            var fleetExclusions = new ExclusionStore(loop, excludedServers, environment.tempDir().resolve(EXCLUDED_BY_FLEET), "fleet");
            fleet = ProxyFleetMember.join(environment.fleetOpener(), sharesListener(), loop, clock, fleetExclusions, this::status);
        }
        if (environment.operatorAddress() == null) {
            return null;
        }
        loop.execute(exclusions::start);
        var endpoint = new OperatorEndpoint(frontend::isReady, exclusions, fleet);
        return bind("operator", () -> endpoint.listen(loop, environment.operatorAddress(), failures));
    }

    private void startDiscovery() {
        Optional<StoredServerList> stored = handover == null ? Optional.empty() : handover.readAtStart();
        loop.execute(() -> stored.ifPresentOrElse(this::startWith, () -> discovery.start(config.lastKnownList())));
        if (stored.isPresent() || handover != null && handover.isOtherProcessServing()) {
            handover.follow(discovery);
        }
    }

    private void startWith(StoredServerList stored) {
        if (handover.replacesLastKnownList(stored, config.discovery())) {
            discovery.startWith(stored);
        } else {
            discovery.start(config.lastKnownList());
        }
        handover.recentlyIncluded(stored).forEach(id -> {
            // It begins as cold as one whose exclusion ends now.
            balancerDriver.excludeServer(id);
            balancerDriver.includeServer(id);
            handover.onIncluded(id);
        });
    }

    private FleetAccess.ProxyStatus status() {
        String version = Serve.class.getPackage().getImplementationVersion();
        return new FleetAccess.ProxyStatus(frontend.isReady(), balancerDriver.openRequests(), serverConnections.availableCount(),
                version == null ? "unknown" : version);
    }

    /** Returns whether two processes serve at once during an upgrade, over one listening socket and within the limits of one process. */
    private boolean sharesListener() {
        return environment.inheritedListener() != null;
    }

    /**
     * Starts to accept clients. On an inherited socket, which other processes serve as well, it accepts only once the proxy is ready.
     *
     * @return the address, or null if the shutdown has already begun
     */
    InetSocketAddress listen() throws Config.InvalidConfigException {
        if (sharesListener()) {
            long latestUs = clock.nowUs() + TimeUnit.MILLISECONDS.toMicros(READY_TIMEOUT_MS);
            loop.execute(() -> listenOnceReady(latestUs));
            try {
                return (InetSocketAddress) environment.inheritedListener().getLocalAddress();
            } catch (IOException e) {
                throw new Config.InvalidConfigException("PROXY_LISTEN_FD: can't get the address of the inherited listening socket: " + e);
            }
        }
        // If the shutdown began before the proxy could listen, it accepts no client.
        InetSocketAddress address = bind("listen",
                () -> frontend.isStopped() ? null
                        : frontend.listen(loop, () -> new DrainingServerSocketChannel(failures), config.listen()));
        if (address == null) {
            return null;
        }
        // From now on the loop's periodic timer finds the tasks of other threads soon enough. Only the thread that accepts clients on an
        // inherited socket submits tasks that can't wait for that timer, and this proxy has none.
        ioHandlers.relyOnTimer();
        log.info("listening", "proxy", config.name(), "port", address.getPort());
        return address;
    }

    private void listenOnceReady(long latestUs) {
        if (shutdown.hasBegun()) {
            shutdown.allClientsGone();
        } else if (canServe() && !awaitsList() || clock.nowUs() >= latestUs) {
            frontend.listen(loop, environment.inheritedListener(), failures, shutdown::watchForLastClient);
            if (!discovery.hasListFromDiscovery()) {
                discovery.setListDue(clock.nowUs() + TimeUnit.MILLISECONDS.toMicros(ListCallTiming.LIST_DUE_AFTER_READY_MS));
            }
            handover.onReady();
            log.info("listening", "proxy", config.name(), "socket", "inherited");
        } else {
            loop.schedule(() -> listenOnceReady(latestUs), READY_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Returns whether a list from discovery is still waited for, while another process serves the clients. */
    private boolean awaitsList() {
        return !discovery.hasListFromDiscovery() && clock.nowUs() < startedAtUs + TimeUnit.MILLISECONDS.toMicros(LIST_WAIT_MS)
                && handover.isOtherProcessServing();
    }

    private boolean canServe() {
        return discovery.isInitialWaitOver() && serverConnections.availableCount() > 0;
    }

    private InetSocketAddress bind(String field, Callable<ChannelFuture> listen) throws Config.InvalidConfigException {
        try {
            Channel channel = new StartupRetry().callWithRetry(field, () -> bindOnce(listen));
            return channel == null ? null : (InetSocketAddress) channel.localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        } catch (Exception e) {
            throw new Config.InvalidConfigException("'" + field + "': can't listen at this address: " + e.getMessage());
        }
    }

    /** Returns the listening channel, or null if the shutdown has begun. */
    private Channel bindOnce(Callable<ChannelFuture> listen) {
        ChannelFuture bound = loop.submit(listen).syncUninterruptibly().getNow();
        if (bound == null || !bound.awaitUninterruptibly().isSuccess() && shutdown.hasBegun()) {
            return null;
        }
        return bound.syncUninterruptibly().channel();
    }

    /**
     * Reloads the configuration: the settings and the address of discovery, which may change while the proxy runs. A file that is not
     * valid changes nothing. The file is read on the calling thread and not on the loop, because with thousands of tenants that takes
     * longer than a request may wait.
     */
    void reconfigure(Path configFile) {
        reconfigure(configFile, clock.nowUs());
    }

    private synchronized void reconfigure(Path configFile, long signalledAtUs) {
        try {
            Config next = Config.read(configFile);
            loop.execute(() -> apply(next, signalledAtUs));
        } catch (Config.InvalidConfigException e) {
            loop.execute(() -> logRejectedConfig(e));
        }
    }

    private void apply(Config read, long signalledAtUs) {
        try {
            Config next = config.checkedReplacement(read);
            config = next;
            frontend.applySettings(next.settings());
            serverConnections.setTimeouts(next.connIdleUs(), next.connectTimeoutUs());
            discovery.setListDue(signalledAtUs + TimeUnit.MILLISECONDS.toMicros(ListCallTiming.LIST_DUE_AFTER_SIGNAL_MS));
            discovery.applySettings(next.settings());
            balancerDriver.settingsChanged(next.settings());
            discovery.changeAddress(next.discovery());
            log.info("configuration_taken_over", "proxy", next.name(), "discovery", next.discovery(), "classes",
                    next.settings().classes().stream().map(Balancer.RequestClass::name).toList());
        } catch (Config.InvalidConfigException e) {
            logRejectedConfig(e);
        }
    }

    private void logRejectedConfig(Config.InvalidConfigException e) {
        log.warn("bad_configuration", "proxy", config.name(), "holding", "the old one", "reason", e.getMessage());
    }

    /** Answers all accepted requests. Returns when the process is to end; false if its event loop has ended before. */
    boolean drain() {
        if (handover != null) {
            handover.onShutdown();
        }
        long longestDeadlineMs = config.settings().classes().stream().mapToLong(c -> c.deadlineUs()).max().orElse(0) / 1_000;
        return shutdown.run(longestDeadlineMs, this::leaveFleet);
    }

    private void leaveFleet(long timeoutMs) throws InterruptedException {
        if (fleet != null) {
            var leaving = new Thread(fleet::close, "leave");
            leaving.start();
            leaving.join(timeoutMs);
        }
    }

    /** Stops at once, without waiting for open requests. */
    void stop() {
        if (handover != null) {
            handover.stop();
        }
        if (fleet != null) {
            fleet.close();
        }
        loop.parent().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
}

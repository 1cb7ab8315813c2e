package walkpost.proxy;

import walkpost.Balancer;
import walkpost.Policy;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/** Runs one real proxy: puts its parts together, and takes it down when it is told to end. */
public final class Serve {
    private static final long LOOK_MS = 10;
    /** Bodies that are waiting may take one part of so many of the memory: the process itself needs a third and more. */
    private static final int BUFFERS_PART = 8;
    /** Clients are taken in after so long even where there is no backend to send to, as nobody else may be there. */
    private static final long READY_MS = 5_000;
    /** The folder, among what the process may write, where the exclusions stand. */
    private static final String EXCLUDED = "excluded";
    /** The same for those of the fleet. */
    private static final String EXCLUDED_BY_FLEET = "excluded-by-fleet";
    private volatile Config config;
    private final Surroundings surroundings;
    private final Log log = new Log("serve");
    private final Clock clock;
    private final SystemCallFailures failures = new SystemCallFailures();
    private final LoopWakeup wakeup = new LoopWakeup(NioIoHandler.newFactory(), failures);
    private final EventLoop loop;
    private final Proxy proxy;
    private final Discovery discovery;
    private final Frontend frontend;
    private final Backends backends;
    private final TakenOut takenOut;
    private final Exclusions exclusions;
    private final GracefulShutdown shutdown;
    /** Null where this proxy is in no fleet. */
    private volatile FleetSide fleet;

    Serve(Config config, Surroundings surroundings) {
        this(config, surroundings, new Policy(config.settings()));
    }

    Serve(Config config, Surroundings surroundings, Balancer module) {
        this(config, surroundings, new Clock(), module);
    }

    Serve(Config config, Surroundings surroundings, Clock clock, Balancer module) {
        this.config = config;
        this.clock = clock;
        this.surroundings = surroundings;
        if (shared()) {
            Log.keepErrorStream();
        }
        loop = newLoop(wakeup);
        var settings = config.settings();
        // A constant: to read it loads nothing.
        int descriptors = config.sockets() - (surroundings.fleet() == null ? 0 : FleetLink.MOST_DESCRIPTORS);
        var sockets = shared() ? Sockets.halfOf(descriptors) : new Sockets(descriptors);
        var buffers = new Buffers(config.memory() / (shared() ? 2 * BUFFERS_PART : BUFFERS_PART));
        backends = new Backends(clock, loop, () -> new RetryingSocketChannel(failures), sockets, buffers, config.connIdleUs(), config.connectTimeoutUs());
        proxy = new Proxy(clock, loop, module, backends);
        discovery = new Discovery(loop, () -> new RetryingSocketChannel(failures), proxy, config.discovery(), settings);
        proxy.discovery(discovery);
        frontend = new Frontend(proxy, sockets, buffers, settings, this::available);
        shutdown = new GracefulShutdown(clock, loop, frontend, proxy.beat(), shared(), config.name());
        takenOut = new TakenOut(proxy);
        exclusions = new Exclusions(loop, takenOut, surroundings.temp().resolve(EXCLUDED), "operators");
    }

    private static EventLoop newLoop(LoopWakeup wakeup) {
        try {
            return new StartRetry().untilDone("event loop",  () -> new MultiThreadIoEventLoopGroup(1, wakeup).next());
        } catch (RuntimeException e) {
            throw e;
        } catch (Exception e) {
            throw new IllegalStateException("no event loop", e);
        }
    }

    /**
     * Serves until the process is told to end.
     *
     * @param args not used: all that a proxy is told stands in the file that {@code PROXY_CONFIG} names
     */
    public static void main(String[] args) {
        try {
            Path file = file();
            Config config = Config.read(file);
            Serve serve = new Serve(config, Surroundings.of(System.getenv(), config));
            serve.begin();
            int requests = Warmup.requests(config.settings(), config.cores());
            if (requests > 0) {
                serve.warmUp(requests);
            }
            Signals.handle("HUP", () -> serve.reconfigure(file));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                serve.drain();
                // All is answered and nothing is left to be tidied up.
                Runtime.getRuntime().halt(0);
            }, "drain"));
            serve.listen();
        } catch (Config.BadConfig e) {
            exit(e);
        }
    }

    /** Does all that a proxy does up to its first client, and ends: for the archive of classes that the build makes. */
    public static void rehearse() {
        try {
            Config config = Config.read(file());
            // Without the fleet: the archive is for all, and few are in one.
            var environment = new HashMap<>(System.getenv());
            environment.remove(Surroundings.FLEET);
            Serve serve = new Serve(config, Surroundings.of(environment, config));
            serve.begin();
            serve.warmUp(Warmup.MOST_REQUESTS);
            serve.listen();
            serve.stop();
        } catch (Config.BadConfig e) {
            exit(e);
        }
    }

    private static Path file() throws Config.BadConfig {
        String file = System.getenv("PROXY_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new Config.BadConfig("PROXY_CONFIG is not set");
        }
        return Path.of(file);
    }

    private void warmUp(int requests) {
        int served = Warmup.run(config.settings(), requests, surroundings.temp(), Warmup.CLIENTS, Warmup.FIRST_MS,
                Warmup.MOST_MS);
        log.info("warmed_up", "requests", served);
    }

    private static void exit(Config.BadConfig e) {
        new Log("serve").failure("bad_configuration", e);
        // At once: there is nothing to drain.
        Runtime.getRuntime().halt(2);
    }

    /** Learns of the backends, joins the fleet, and hears the operators; returns where, or null where they don't call. */
    InetSocketAddress begin() throws Config.BadConfig {
        loop.execute(() -> discovery.known(config.known()));
        if (surroundings.fleet() != null) {
            var ordered = new Exclusions(loop, takenOut, surroundings.temp().resolve(EXCLUDED_BY_FLEET), "fleet");
            fleet = FleetLink.join(surroundings.fleet(), shared(), loop, clock, ordered, this::condition);
        }
        if (surroundings.operator() == null) {
            return null;
        }
        loop.execute(exclusions::start);
        var endpoint = new OperatorEndpoint(frontend::ready, exclusions, fleet);
        return bound("operator", () -> endpoint.listen(loop, surroundings.operator(), failures));
    }

    private FleetSide.Condition condition() {
        String version = Serve.class.getPackage().getImplementationVersion();
        return new FleetSide.Condition(frontend.ready(), proxy.open(), backends.ready(), version == null ? "unknown" : version);
    }

    /** Whether two processes serve at once during an upgrade, within the limits of one. */
    private boolean shared() {
        return surroundings.clients() != null;
    }

    /** Begins to serve; returns the address, or null if it is too late. Over a socket that others serve as well it begins only once it is ready. */
    InetSocketAddress listen() throws Config.BadConfig {
        if (shared()) {
            long latest = clock.now() + TimeUnit.MILLISECONDS.toMicros(READY_MS);
            loop.execute(() -> listenOnceReady(latest));
            try {
                return (InetSocketAddress) surroundings.clients().getLocalAddress();
            } catch (IOException e) {
                throw new Config.BadConfig("the inherited socket: " + e);
            }
        }
        // Told to end before it could begin, it takes nobody in.
        InetSocketAddress address = bound("listen",
                () -> frontend.ended() ? null : frontend.listen(loop, () -> new ClientsSocket(failures), config.listen()));
        if (address == null) {
            return null;
        }
        // Nobody else hands the loop what can't wait for its next beat: clients over an inherited socket are accepted by another thread.
        wakeup.byTimer();
        log.info("listening", "proxy", config.name(), "port", address.getPort());
        return address;
    }

    private void listenOnceReady(long latest) {
        if (shutdown.begun()) {
            shutdown.nobodyIsLeft();
        } else if (available() || clock.now() >= latest) {
            frontend.listen(loop, surroundings.clients(), failures, shutdown::watchForTheLastClient);
            log.info("listening", "proxy", config.name(), "socket", "inherited");
        } else {
            loop.schedule(() -> listenOnceReady(latest), LOOK_MS, TimeUnit.MILLISECONDS);
        }
    }

    private boolean available() {
        return discovery.settled() && backends.ready() > 0;
    }

    private InetSocketAddress bound(String field, Callable<ChannelFuture> listen) throws Config.BadConfig {
        try {
            Channel bound = new StartRetry().untilDone(field, () -> boundOnce(listen));
            return bound == null ? null : (InetSocketAddress) bound.localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        } catch (Exception e) {
            throw new Config.BadConfig("'" + field + "': " + e.getMessage());
        }
    }

    /** Returns the channel that listens, or null where it is not to listen any more. */
    private Channel boundOnce(Callable<ChannelFuture> listen) {
        ChannelFuture bound = loop.submit(listen).syncUninterruptibly().getNow();
        if (bound == null || !bound.awaitUninterruptibly().isSuccess() && shutdown.begun()) {
            return null;
        }
        return bound.syncUninterruptibly().channel();
    }

    /**
     * Takes over what may change while the proxy runs: the settings, and where discovery is. A bad file changes nothing. The file is
     * read where this is called, not on the loop: with thousands of tenants that takes longer than a request may wait.
     */
    synchronized void reconfigure(Path file) {
        try {
            Config next = Config.read(file);
            loop.execute(() -> takeOver(next));
        } catch (Config.BadConfig e) {
            loop.execute(() -> keepOld(e));
        }
    }

    private void takeOver(Config read) {
        try {
            Config next = config.next(read);
            config = next;
            frontend.tune(next.settings());
            backends.tune(next.connIdleUs(), next.connectTimeoutUs());
            discovery.tune(next.settings());
            proxy.retuned(next.settings());
            discovery.moveTo(next.discovery());
            log.info("configuration_taken_over", "proxy", next.name(), "discovery", next.discovery(), "classes",
                    next.settings().classes().stream().map(Balancer.RequestClass::name).toList());
        } catch (Config.BadConfig e) {
            keepOld(e);
        }
    }

    private void keepOld(Config.BadConfig e) {
        log.warn("bad_configuration", "proxy", config.name(), "holding", "the old one", "reason", e.getMessage());
    }

    /** Answers all that is taken, and returns when the process is to end. */
    void drain() {
        long longestMs = config.settings().classes().stream().mapToLong(c -> c.deadlineUs()).max().orElse(0) / 1_000;
        shutdown.run(longestMs, this::leave);
    }

    private void leave(long withinMs) throws InterruptedException {
        if (fleet != null) {
            var leaving = new Thread(fleet::close, "leave");
            leaving.start();
            leaving.join(withinMs);
        }
    }

    /** Ends at once, whatever is still open. */
    void stop() {
        if (fleet != null) {
            fleet.close();
        }
        loop.parent().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }
}

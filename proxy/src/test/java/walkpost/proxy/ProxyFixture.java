package walkpost.proxy;

import walkpost.Balancer;
import walkpost.Balancer.Action;
import walkpost.Balancer.Event;
import walkpost.Policy;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;

/** A proxy on loopback, with a balancer that the test scripts. It records the events that the balancer gets. */
final class ProxyFixture implements Closeable {
    private static final String CONFIG = """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"92094eb940cf389a",
             "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
             "known":{"version":41,"full":true,"servers":[%s]},
             "settings":{"balancers":2,"rank":0,"locality":"a","quantum_us":4000,"registry_mode":"on_request",
              "bounds":{"cancel":true,"may_duplicate":false,"probes":false,"most_tries":4,"max_retry_after_us":2000000,
               "conn_idle_us":%d,"connect_timeout_us":200000},
              "invariants":{"cold_from":0.4,"cold_us":8100000,"fall_multiple":4.0,"fall_us":1000000,
               "must_ask_in_us":10000000},
              "over_share_worth":0.05,
              "profiles":[
               {"name":"read","aim_us":600000,"deadline_us":2000000,"effect":"idempotent","value":1,"late_worth":0},
               {"name":"pay","aim_us":400000,"deadline_us":2000000,"effect":"deduplicated","key_scope":"zone",
                "window_us":1200000,"value":10,"late_worth":0},
               {"name":"vote","aim_us":400000,"deadline_us":2000000,"effect":"at_most_once","value":10,"late_worth":0}],
              "projects":[{"name":"acme","allowance_per_s":100}]}}
            """;

    final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    final FakeServer discovery = new FakeServer();
    private final AtomicLong clockAdvanceNs = new AtomicLong();
    /** The time at which the proxy's clock stands still, without its advance; 0 while it runs. */
    private volatile long clockStoppedNs;
    private final ProxyClock clock;
    private final Serve serve;
    final InetSocketAddress address;
    private final InetSocketAddress operatorAddress;

    /** Stands in for the balancer: gets the events and orders actions. */
    interface BalancerStub {
        void handle(Event event, Consumer<Action> actions);
    }

    ProxyFixture(BalancerStub balancer, FakeServer... servers) throws Exception {
        this(balancer, 1_024, 15_000_000, servers);
    }

    ProxyFixture(BalancerStub balancer, int socketLimit, long idleUs, FakeServer... servers) throws Exception {
        this(settings -> (now, event, actions) -> balancer.handle(event, actions), socketLimit, idleUs, servers);
    }

    /** Starts a proxy with the balancer that it has in production. */
    static ProxyFixture withPolicy(FakeServer... servers) throws Exception {
        return new ProxyFixture(Policy::new, 1_024, 15_000_000, servers);
    }

    private ProxyFixture(Function<Balancer.Settings, Balancer> factory, int socketLimit, long idleUs, FakeServer... servers)
            throws Exception {
        this(factory, socketLimit, idleUs, new ProcessEnvironment(null, Path.of("/nonexistent"), null, null), servers);
    }

    /**
     * Starts a proxy with an operator endpoint.
     *
     * @param balancer the balancer of the test; null for the one in production
     * @param tempDir the directory that the proxy may write to
     */
    static ProxyFixture withOperatorEndpoint(BalancerStub balancer, Path tempDir, FakeServer... servers) throws Exception {
        return withInheritedListener(null, balancer, tempDir, servers);
    }

    /** Starts a proxy as {@link #withOperatorEndpoint} does, on an inherited listening socket unless {@code listener} is null. */
    static ProxyFixture withInheritedListener(ServerSocketChannel listener, BalancerStub balancer, Path tempDir, FakeServer... servers)
            throws Exception {
        return inFleet(null, listener, balancer, tempDir, servers);
    }

    /** Starts a proxy as {@link #withInheritedListener} does, as a member of a fleet unless {@code fleet} is null. */
    static ProxyFixture inFleet(ProxyFleetMember.Opener fleet, ServerSocketChannel listener, BalancerStub balancer, Path tempDir,
            FakeServer... servers) throws Exception {
        return new ProxyFixture(balancer == null ? Policy::new : settings -> (now, event, actions) -> balancer.handle(event, actions),
                1_024, 15_000_000,
                new ProcessEnvironment(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), tempDir, listener, fleet), servers);
    }

    private ProxyFixture(Function<Balancer.Settings, Balancer> factory, int socketLimit, long idleUs, ProcessEnvironment environment,
            FakeServer... servers) throws Exception {
        var entries = new StringBuilder();
        for (int i = 0; i < servers.length; i++) {
            entries.append(i == 0 ? "" : ",").append(serverEntry("s" + i, servers[i].address(), "ready"));
        }
        String json = CONFIG.formatted(discovery.address(), socketLimit, entries, idleUs);
        Config config = Config.parse(Config.JSON.readTree(json));
        Balancer balancer = factory.apply(config.settings());
        clock = new ProxyClock(this::nanoTime);
        serve = new Serve(config, environment, clock, (now, event, actions) -> {
            events.add(event);
            balancer.handle(now, event, actions);
        });
        operatorAddress = serve.start();
        address = serve.listen();
    }

    /** Returns a valid configuration, whose discovery can't be reached and which knows no servers. */
    static ObjectNode config() throws IOException {
        return (ObjectNode) Config.JSON.readTree(CONFIG.formatted("127.0.0.1:1", 1_024, "", 15_000_000));
    }

    /** Returns one server's entry of a server list, in JSON. */
    static String serverEntry(String id, String address, String state) {
        return "{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":1,\"state\":\"%s\",\"weight\":1.0,\"started_ms\":7}"
                .formatted(id, address, state);
    }

    /** Returns a server list of discovery, in JSON. */
    static String serverList(long version, boolean full, String... entries) {
        return "{\"version\":%d,\"full\":%b,\"servers\":[%s]}".formatted(version, full, String.join(",", entries));
    }

    /** Returns a balancer that sends every request to one server, and fails the request if its attempt ends without an answer. */
    static BalancerStub sendTo(String serverId) {
        return sendTo(serverId, 0);
    }

    /** Returns the same with a timeout for each attempt; 0 for none. */
    static BalancerStub sendTo(String serverId, long timeoutUs) {
        return (event, actions) -> {
            if (event instanceof Balancer.Arrival arrival) {
                actions.accept(new Balancer.Send(arrival.id(), serverId, timeoutUs));
            } else if (event instanceof Balancer.AttemptEnded end && !end.last()) {
                actions.accept(new Balancer.Fail(end.id()));
            }
        };
    }

    /** Returns a client's request of the class "read". */
    static String get(String id) {
        return "GET /api?k=u1 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: read\r\nX-Tenant-Id: acme\r\nX-Timeout: 1900m\r\n\r\n";
    }

    /** Returns a client's request of the class "pay", with a body. */
    static String post(String id, String body) {
        return "POST /api?k=u%201&x HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: pay\r\nX-Tenant-Id: acme\r\nX-Timeout: 1900m\r\nIdempotency-Key: 5c0f"
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Connects as a client. */
    RawConnection client() throws IOException {
        return RawConnection.connect(address);
    }

    /** Connects to the operator endpoint. */
    RawConnection operatorConnection() throws IOException {
        return RawConnection.connect(operatorAddress);
    }

    /** Sends one command to the operator endpoint and returns the whole answer. */
    String callOperator(String line) throws IOException {
        try (RawConnection connection = operatorConnection()) {
            return connection.send(line).readToEnd();
        }
    }

    /** Waits for the next event of a type, skips events of other types, and returns it. */
    <T extends Event> T nextEvent(Class<T> type) throws InterruptedException {
        while (true) {
            Event event = FakeServer.takeNext(events);
            if (type.isInstance(event)) {
                return type.cast(event);
            }
        }
    }

    /** Advances the proxy's clock. If called on the proxy's event loop, the loop seems to have been delayed for that time. */
    void advanceClock(Duration time) {
        clockAdvanceNs.addAndGet(time.toNanos());
    }

    /** Returns the time on the proxy's clock, in microseconds. */
    long clockUs() {
        return clock.nowUs();
    }

    /** Stops the proxy's clock, so that no span of its time passes however slow the test is. Timers of its event loop go on. */
    void stopClock() {
        clockStoppedNs = System.nanoTime();
    }

    private long nanoTime() {
        long stoppedNs = clockStoppedNs;
        return (stoppedNs == 0 ? System.nanoTime() : stoppedNs) + clockAdvanceNs.get();
    }

    void reconfigure(Path file) {
        serve.reconfigure(file);
    }

    void drain() {
        serve.drain();
    }

    /** Stops the proxy at once. */
    void stop() {
        serve.stop();
    }

    @Override
    public void close() throws IOException {
        stop();
        discovery.close();
    }
}

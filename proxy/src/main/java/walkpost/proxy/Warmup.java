package walkpost.proxy;

import walkpost.Balancer;
import walkpost.Balancer.BackendState;
import walkpost.Policy;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * Runs the request path often enough for it to be compiled, before the proxy reports that it is ready. A cold virtual machine on a
 * fraction of a core serves so few requests that its queue fills with clients that have already given up, and it works for those. So a
 * second proxy, which shares nothing with the real one, serves synthetic requests from synthetic servers for a moment. They all
 * communicate over Unix domain sockets, so that no other party is ever reached and the socket code runs too, which it would not over
 * channels inside the process. Everything runs on an event loop of its own; the caller of {@link #run} blocks.
 */
final class Warmup {
    /** The fewest requests of a warm-up. The first few take the longest, because they load and link classes. */
    static final int MIN_REQUESTS = 40;
    /** The most requests of a warm-up. A method is compiled once it has run 200 times. */
    static final int MAX_REQUESTS = 250;
    /** The load, as a multiple of what cold code can serve, from which on the warm-up is the longest. */
    private static final double MAX_LOAD = 3;
    /** The longest warm-up: to be ready late is better than to be ready cold, but not by much. */
    static final long TIMEOUT_MS = 6_000;
    /** How long to wait for the first answer. A later one means that the host does not connect Unix domain sockets. */
    static final long FIRST_ANSWER_TIMEOUT_MS = 1_500;
    /**
     * What a request takes of a core while the code is cold: 128 requests a second, some with long bodies, took half a core for 5 s.
     */
    private static final double COLD_REQUEST_US = 4_000;
    static final int CLIENTS = 6;
    private static final int SERVERS = 3;
    private static final int DESCRIPTOR_LIMIT = 256;
    private static final int REQUESTS_PER_CONNECTION = 3;
    /** One of this many requests is answered with an error. */
    private static final int REQUESTS_PER_ERROR = 16;
    private static final int BODY_BYTES = 1_024;
    private static final EventLog LOG = new EventLog("warmup");

    private final Balancer.Settings settings;
    private final int requests;
    private final SocketAddress proxyAddress;
    private final EventLoop loop;
    private final Promise<Void> done;
    private int sentRequests;
    private int answeredRequests;
    private int servedRequests;

    private Warmup(Balancer.Settings settings, int requests, SocketAddress proxyAddress, EventLoop loop) {
        this.settings = settings;
        this.requests = requests;
        this.proxyAddress = proxyAddress;
        this.loop = loop;
        this.done = loop.newPromise();
    }

    /**
     * Returns how many synthetic requests a proxy should serve before it accepts clients. The number grows with the ratio of the expected
     * traffic to what cold code can serve. A proxy with a small part of the traffic needs none: the warm-up would only keep it away for
     * longer, together with all the proxies that start at the same time.
     */
    static int requestCount(Balancer.Settings settings, double cores) {
        double requestsPerS = settings.tenants().stream().mapToDouble(Balancer.Tenant::quotaPerS).sum() / settings.balancers();
        double load = settings.tenants().isEmpty() ? MAX_LOAD : requestsPerS * COLD_REQUEST_US / (cores * TimeUnit.SECONDS.toMicros(1));
        double fraction = Math.min(1, (load - 1) / (MAX_LOAD - 1));
        return load <= 1 ? 0 : (int) (MIN_REQUESTS + fraction * (MAX_REQUESTS - MIN_REQUESTS));
    }

    /**
     * Runs a warm-up and returns how many synthetic requests were answered. A failure ends the warm-up and leaves the proxy unaffected.
     *
     * @param tempDir a writable directory
     * @param requests the number of answered requests after which the warm-up ends
     * @param clients the number of clients that send requests at the same time
     * @param firstAnswerTimeoutMs the time after which the warm-up ends if no request was answered
     * @param timeoutMs the time after which the warm-up ends in any case
     */
    static int run(Balancer.Settings settings, int requests, Path tempDir, int clients, long firstAnswerTimeoutMs, long timeoutMs) {
        var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        Path socketDir = null;
        try {
            socketDir = Files.createTempDirectory(tempDir, "warmup");
            var warmup = new Warmup(settings, requests, UnixDomainSocketAddress.of(socketDir.resolve("front")), group.next());
            warmup.start(socketDir, clients);
            if (!warmup.done.await(firstAnswerTimeoutMs) && warmup.answeredSoFar() > 0) {
                warmup.done.await(timeoutMs - firstAnswerTimeoutMs);
            }
            return warmup.answeredSoFar();
        } catch (IOException | ExecutionException | RuntimeException e) {
            LOG.warn("not_warmed_up", "reason", e);
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
            remove(socketDir);
        }
    }

    private int answeredSoFar() throws InterruptedException, ExecutionException {
        return loop.submit(() -> answeredRequests).get();
    }

    private static void remove(Path socketDir) {
        if (socketDir == null) {
            return;
        }
        try (var files = Files.newDirectoryStream(socketDir)) {
            for (Path file : files) {
                Files.delete(file);
            }
            Files.delete(socketDir);
        } catch (IOException e) {
            LOG.warn("left_behind", "reason", e);
        }
    }

    private void start(Path socketDir, int clients) {
        var listed = new ArrayList<ServerConnections.ListedServer>();
        for (int i = 0; i < SERVERS; i++) {
            SocketAddress address = UnixDomainSocketAddress.of(socketDir.resolve("backend" + i));
            new ServerBootstrap().group(loop).channel(NioServerDomainSocketChannel.class)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new HttpServerCodec(),
                                    new HttpObjectAggregator(ServerConnections.MAX_BUFFERED_BODY_BYTES), new SyntheticServer());
                        }
                    }).bind(address).syncUninterruptibly();
            listed.add(new ServerConnections.ListedServer(new Balancer.Backend("warmup" + i, BackendState.READY, "warmup",
                    settings.zone(), 0, 0, 1), address));
        }
        var clock = new ProxyClock();
        var connectionBudget = new ConnectionBudget(DESCRIPTOR_LIMIT);
        var memoryBudget = new MemoryBudget(Long.MAX_VALUE);
        var settingsWithoutDiscovery = settingsWithoutDiscovery();
        var serverConnections = new ServerConnections(clock, loop, NioDomainSocketChannel::new, connectionBudget, memoryBudget,
                TimeUnit.MILLISECONDS.toMicros(TIMEOUT_MS), TimeUnit.MILLISECONDS.toMicros(TIMEOUT_MS));
        var balancerDriver = new BalancerDriver(clock, loop, new Policy(settingsWithoutDiscovery), serverConnections);
        var frontend = new Frontend(balancerDriver, connectionBudget, memoryBudget, settingsWithoutDiscovery,
                () -> serverConnections.availableCount() > 0);
        loop.submit(() -> balancerDriver.updateServerList(Balancer.ListKind.FULL, listed)).syncUninterruptibly();
        frontend.listen(loop, NioServerDomainSocketChannel::new, proxyAddress).syncUninterruptibly();
        for (int i = 0; i < clients; i++) {
            connect();
        }
    }

    /** Returns the proxy's settings for a single balancer that never asks discovery for the server list. */
    private Balancer.Settings settingsWithoutDiscovery() {
        Balancer.Limits limits = settings.limits();
        return new Balancer.Settings(1, 0, settings.zone(), settings.tickUs(), settings.classes(), settings.tenants(),
                settings.overShareWorth(), settings.warmKeys(), new Balancer.Limits(limits.cancel(), limits.hedging(),
                limits.probes(), false, limits.maxAttempts(), limits.maxRetryAfterUs()), settings.rules(), settings.seed());
    }

    private void connect() {
        new Bootstrap().group(loop).channel(NioDomainSocketChannel.class).handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(ServerConnections.MAX_BUFFERED_BODY_BYTES),
                        new SyntheticClient());
            }
        }).connect(proxyAddress);
    }

    private FullHttpRequest nextRequest() {
        int number = sentRequests++;
        List<Balancer.RequestClass> classes = settings.classes();
        Balancer.RequestClass requestClass = classes.get(number % classes.size());
        boolean safe = requestClass.effect() == Balancer.Effect.SAFE;
        var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, safe ? HttpMethod.GET : HttpMethod.POST,
                "/api?k=" + number, safe ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
        request.headers().set("host", "warmup").set(Headers.REQUEST_ID, "warmup" + number)
                .set(Headers.REQUEST_CLASS, requestClass.name()).set(Headers.TIMEOUT, requestClass.deadlineUs() + "u");
        if (!settings.tenants().isEmpty()) {
            request.headers().set(Headers.TENANT, settings.tenants().get(number % settings.tenants().size()).name());
        }
        if (!safe) {
            request.headers().set(Headers.IDEMPOTENCY_KEY, "warmup" + number);
            HttpUtil.setContentLength(request, BODY_BYTES);
        }
        return request;
    }

    /** Handles one end of a synthetic connection. Closes it on any error. */
    private abstract static class SyntheticPeer<T> extends SimpleChannelInboundHandler<T> {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private final class SyntheticClient extends SyntheticPeer<FullHttpResponse> {
        private int requestsLeft = REQUESTS_PER_CONNECTION;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.writeAndFlush(nextRequest());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (++answeredRequests == requests) {
                done.setSuccess(null);
            }
            if (--requestsLeft > 0 && !done.isDone()) {
                ctx.writeAndFlush(nextRequest());
            } else {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (!done.isDone()) {
                connect();
            }
        }
    }

    private final class SyntheticServer extends SyntheticPeer<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            HttpResponseStatus status = ++servedRequests % REQUESTS_PER_ERROR > 0 ? HttpResponseStatus.OK
                    : HttpResponseStatus.INTERNAL_SERVER_ERROR;
            var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
            HttpUtil.setContentLength(response, BODY_BYTES);
            ctx.writeAndFlush(response);
        }
    }
}

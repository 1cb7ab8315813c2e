package walkpost.proxy;

import walkpost.Balancer;
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
 * Has the code of a request run often enough to be compiled, before the proxy says that it is ready. A cold virtual
 * machine on a part of a core takes in so little that its queue of clients fills with such as have given up, and it
 * works for those. So a second proxy, which shares nothing with the real one, serves made-up requests from made-up
 * backends for a moment. All of them talk over sockets in the file system: no other party is ever reached, and the
 * code of sockets runs as well, which over channels inside the process it would not.
 */
final class Warmup {
    /** The first few take the most, as they load and link; a method is compiled once it has run 200 times. */
    static final int LEAST_REQUESTS = 40;
    static final int MOST_REQUESTS = 250;
    /** So many times what cold code takes in calls for the most. */
    private static final double MOST_LOAD = 3;
    /** Ready late is better than ready cold, but not by much. */
    static final long MOST_MS = 6_000;
    /** Where the first answer takes longer than this, nobody is led to sockets in the file system. */
    static final long FIRST_MS = 1_500;
    /** What a request takes of a core while the code is cold: 128 a second, some with long bodies, took half a core for 5 s. */
    private static final double COLD_US = 4_000;
    static final int CLIENTS = 6;
    private static final int BACKENDS = 3;
    private static final int DESCRIPTORS = 256;
    /** So many requests go over a connection, and one of so many is answered with an error. */
    private static final int REQUESTS_EACH = 3;
    private static final int ERROR_EACH = 16;
    private static final int BODY = 1_024;
    private static final Log LOG = new Log("warmup");

    private final Balancer.Settings settings;
    private final int requests;
    private final SocketAddress front;
    private final EventLoop loop;
    private final Promise<Void> done;
    private int sent;
    private int answered;
    private int asked;

    private Warmup(Balancer.Settings settings, int requests, SocketAddress front, EventLoop loop) {
        this.settings = settings;
        this.requests = requests;
        this.front = front;
        this.loop = loop;
        this.done = loop.newPromise();
    }

    /**
     * Returns how many made-up requests a proxy should serve before its clients': the more, the further the traffic is
     * beyond what it takes in while its code is cold. One of many, whose part of the traffic is thin, needs none: to it
     * the warm-up is only time in which it is missing, with all the others that start together with it.
     */
    static int requests(Balancer.Settings settings, double cores) {
        double perS = settings.tenants().stream().mapToDouble(Balancer.Tenant::quotaPerS).sum() / settings.balancers();
        double load = settings.tenants().isEmpty() ? MOST_LOAD : perS * COLD_US / (cores * TimeUnit.SECONDS.toMicros(1));
        double part = Math.min(1, (load - 1) / (MOST_LOAD - 1));
        return load <= 1 ? 0 : (int) (LEAST_REQUESTS + part * (MOST_REQUESTS - LEAST_REQUESTS));
    }

    /**
     * Returns how many made-up requests were answered; what goes wrong costs the warm-up alone, not the proxy.
     *
     * @param temp a folder that may be written
     * @param requests it ends once so many were answered
     * @param clients so many ask
     * @param firstMs it ends after this time if none was answered
     * @param mostMs it ends after this time, however few they are
     */
    static int run(Balancer.Settings settings, int requests, Path temp, int clients, long firstMs, long mostMs) {
        var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        Path dir = null;
        try {
            dir = Files.createTempDirectory(temp, "warmup");
            var warmup = new Warmup(settings, requests, UnixDomainSocketAddress.of(dir.resolve("front")), group.next());
            warmup.start(dir, clients);
            if (!warmup.done.await(firstMs) && warmup.soFar() > 0) {
                warmup.done.await(mostMs - firstMs);
            }
            return warmup.soFar();
        } catch (IOException | ExecutionException | RuntimeException e) {
            LOG.warn("not_warmed_up", "reason", e);
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
            remove(dir);
        }
    }

    private int soFar() throws InterruptedException, ExecutionException {
        return loop.submit(() -> answered).get();
    }

    private static void remove(Path dir) {
        if (dir == null) {
            return;
        }
        try (var files = Files.newDirectoryStream(dir)) {
            for (Path file : files) {
                Files.delete(file);
            }
            Files.delete(dir);
        } catch (IOException e) {
            LOG.warn("left_behind", "reason", e);
        }
    }

    private void start(Path dir, int clients) {
        var listed = new ArrayList<Backends.Listed>();
        for (int i = 0; i < BACKENDS; i++) {
            SocketAddress address = UnixDomainSocketAddress.of(dir.resolve("backend" + i));
            new ServerBootstrap().group(loop).channel(NioServerDomainSocketChannel.class)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new HttpServerCodec(),
                                    new HttpObjectAggregator(Backends.MAX_BODY), new MadeUpBackend());
                        }
                    }).bind(address).syncUninterruptibly();
            listed.add(new Backends.Listed(new Balancer.Backend("warmup" + i, Balancer.State.READY, "warmup",
                    settings.zone(), 0, 0, 1), address));
        }
        var clock = new Clock();
        var sockets = new Sockets(DESCRIPTORS);
        var buffers = new Buffers(Long.MAX_VALUE);
        var unlisted = unlisted();
        var backends = new Backends(clock, loop, NioDomainSocketChannel::new, sockets, buffers,
                TimeUnit.MILLISECONDS.toMicros(MOST_MS), TimeUnit.MILLISECONDS.toMicros(MOST_MS));
        var proxy = new Proxy(clock, loop, new Policy(unlisted), backends);
        var frontend = new Frontend(proxy, sockets, buffers, unlisted, () -> backends.ready() > 0);
        loop.submit(() -> proxy.members(Balancer.ListKind.FULL, listed)).syncUninterruptibly();
        frontend.listen(loop, NioServerDomainSocketChannel::new, front).syncUninterruptibly();
        for (int i = 0; i < clients; i++) {
            connect();
        }
    }

    /** The same settings, for a module that is not to ask any discovery. */
    private Balancer.Settings unlisted() {
        Balancer.Limits l = settings.limits();
        return new Balancer.Settings(1, 0, settings.zone(), settings.tickUs(), settings.classes(), settings.tenants(),
                settings.overShareWorth(), settings.warmKeys(), new Balancer.Limits(l.cancel(), l.secondCopies(),
                l.probes(), false, l.maxAttempts(), l.maxRetryAfterUs()), settings.rules(), settings.seed());
    }

    private void connect() {
        new Bootstrap().group(loop).channel(NioDomainSocketChannel.class).handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(Backends.MAX_BODY),
                        new MadeUpClient());
            }
        }).connect(front);
    }

    private FullHttpRequest next() {
        int number = sent++;
        List<Balancer.RequestClass> classes = settings.classes();
        Balancer.RequestClass type = classes.get(number % classes.size());
        boolean safe = type.effect() == Balancer.Effect.SAFE;
        var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, safe ? HttpMethod.GET : HttpMethod.POST,
                "/api?k=" + number, safe ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(new byte[BODY]));
        request.headers().set("host", "warmup").set(Headers.REQUEST_ID, "warmup" + number)
                .set(Headers.REQUEST_CLASS, type.name()).set(Headers.TIMEOUT, type.deadlineUs() + "u");
        if (!settings.tenants().isEmpty()) {
            request.headers().set(Headers.TENANT, settings.tenants().get(number % settings.tenants().size()).name());
        }
        if (!safe) {
            request.headers().set(Headers.IDEMPOTENCY_KEY, "warmup" + number);
            HttpUtil.setContentLength(request, BODY);
        }
        return request;
    }

    /** One end of a made-up connection: where it breaks, it is closed. */
    private abstract static class End<T> extends SimpleChannelInboundHandler<T> {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private final class MadeUpClient extends End<FullHttpResponse> {
        private int left = REQUESTS_EACH;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.writeAndFlush(next());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (++answered == requests) {
                done.setSuccess(null);
            }
            if (--left > 0 && !done.isDone()) {
                ctx.writeAndFlush(next());
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

    private final class MadeUpBackend extends End<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            HttpResponseStatus status = ++asked % ERROR_EACH > 0 ? HttpResponseStatus.OK
                    : HttpResponseStatus.INTERNAL_SERVER_ERROR;
            var answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(new byte[BODY]));
            HttpUtil.setContentLength(answer, BODY);
            ctx.writeAndFlush(answer);
        }
    }
}

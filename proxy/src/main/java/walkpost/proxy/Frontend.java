package walkpost.proxy;

import walkpost.Balancer;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

/** The clients' side: takes requests in, turns bad ones away, and gives each good one exactly one answer. */
final class Frontend {
    private static final int BACKLOG = 1_024;

    final Log log = new Log("frontend");
    final Proxy proxy;
    final Sockets sockets;
    final Buffers buffers;
    private final BooleanSupplier ready;
    private Terms terms;
    private final Set<ClientConnection> connections = new HashSet<>();
    private Backlog listener;
    private boolean draining;
    private boolean ended;
    private boolean closing;
    private long latestDeadline = Long.MAX_VALUE;

    Frontend(Proxy proxy, Sockets sockets, Buffers buffers, Balancer.Settings settings, BooleanSupplier ready) {
        this.proxy = proxy;
        this.sockets = sockets;
        this.buffers = buffers;
        this.ready = ready;
        this.terms = Terms.of(settings);
    }

    /** Which requests are taken in, and the limits that each keeps. */
    record Terms(Map<String, Balancer.Effect> effects, Set<String> tenants, Balancer.Limits limits) {
        static Terms of(Balancer.Settings settings) {
            return new Terms(settings.classes().stream().collect(
                            Collectors.toUnmodifiableMap(Balancer.RequestClass::name, Balancer.RequestClass::effect)),
                    settings.tenants().stream().map(Balancer.Tenant::name).collect(Collectors.toUnmodifiableSet()),
                    settings.limits());
        }
    }

    /** The settings are others from now on, for whoever begins to ask. */
    void tune(Balancer.Settings settings) {
        terms = Terms.of(settings);
    }

    ChannelFuture listen(EventLoop loop, ChannelFactory<ServerChannel> transport, SocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(loop).channelFactory(transport)
                // One at a time: each that is accepted counts before the next is.
                .option(ChannelOption.RECVBUF_ALLOCATOR, new ServerChannelRecvByteBufAllocator())
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childHandler(new Admission()).bind(address);
        bound.addListener(done -> {
            if (done.isSuccess()) {
                listenAt(bound.channel());
            }
            if (done.isSuccess() && ended) {
                listener.close();
            }
        });
        return bound;
    }

    /**
     * Takes clients in over a socket that other processes hold as well.
     *
     * @param failures counts the system calls that fail
     * @param ended is run once it was closed and all that had come by then are known here
     */
    void listen(EventLoop loop, ServerSocketChannel inherited, SystemCallFailures failures, Runnable ended) {
        var where = new InheritedListener(inherited, loop, failures, client -> {
            var channel = new RetryingSocketChannel(null, client, failures);
            channel.pipeline().addLast(new Admission());
            loop.register(channel);
        }, ended);
        listenAt(where);
        where.start();
    }

    private void listenAt(Channel channel) {
        var retrying = channel instanceof RetryingServerSocketChannel r ? r : null;
        listenAt(new Listener() {
            @Override
            public void accept(boolean on) {
                if (retrying != null) {
                    retrying.accepting(on);
                } else {
                    channel.config().setAutoRead(on);
                }
            }

            @Override
            public void close() {
                channel.close();
            }
        });
        if (retrying != null) {
            retrying.onAcceptFailure(listener::acceptFailed);
        }
    }

    private void listenAt(Listener where) {
        proxy.beat().start();
        listener = new Backlog(proxy.beat(), where);
        sockets.listener(listener);
    }

    private final class Admission extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            // Before it counts: it may be the one behind whom the others have to wait.
            boolean waited = listener.accepted();
            var closing = new Closing(channel, sockets);
            sockets.clientOpened(closing);
            channel.config().setRecvByteBufAllocator(Headers.readingLittle());
            channel.config().setWriteBufferWaterMark(Headers.WATER_MARK);
            channel.pipeline().addLast(new ClientConnection(Frontend.this, closing, waited));
        }
    }

    /** Tells how late the loop may be with what it reads. */
    LoopBeat beat() {
        return proxy.beat();
    }

    Terms terms() {
        return terms;
    }

    /** Returns whether each answer is to be its connection's last. */
    boolean closing() {
        return closing;
    }

    /** The last moment, on the proxy's clock, at which anything may be answered. */
    long latestDeadline() {
        return latestDeadline;
    }

    void opened(ClientConnection connection) {
        connections.add(connection);
    }

    void closed(ClientConnection connection) {
        connections.remove(connection);
    }

    /** From now on this proxy is not ready, and whatever it still takes is answered by a moment on its clock. */
    void drain(long answeredBy) {
        draining = true;
        latestDeadline = answeredBy;
    }

    /** Returns whether clients may be sent here. */
    boolean ready() {
        return listener != null && !draining && ready.getAsBoolean();
    }

    void stopListening() {
        ended = true;
        if (listener != null) {
            listener.close();
        }
    }

    /** Returns whether no client is to be taken in any more. */
    boolean ended() {
        return ended;
    }

    /** From now on each answer is its connection's last. */
    void closeAfterAnswers() {
        closing = true;
    }

    /** Closes the connections on which nothing is asked. */
    void closeIdle() {
        List.copyOf(connections).forEach(ClientConnection::closeIfIdle);
    }

    /** Answers all that has been taken and has no answer yet: the process ends. */
    void answerNow() {
        List.copyOf(connections).forEach(ClientConnection::answerNow);
    }

    /** Returns whether any client is still connected: it waits for an answer, or its connection is just being ended. */
    boolean busy() {
        return !connections.isEmpty();
    }

    /** An answer of the proxy's own. */
    static FullHttpResponse plain(HttpResponseStatus status, String text) {
        ByteBuf body = Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
        var answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        answer.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        HttpUtil.setContentLength(answer, body.readableBytes());
        return answer;
    }
}

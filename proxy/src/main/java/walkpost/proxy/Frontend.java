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

/**
 * The client side of the proxy: listens, accepts connections, and has the rules for accepting requests and the state of the shutdown. Used
 * on the event loop only.
 */
final class Frontend {
    private static final int ACCEPT_QUEUE_LENGTH = 1_024;
    /** Clients accepted in one turn of the loop. With one, the queue of a busy loop fills with clients that have given up. */
    private static final int ACCEPTS_PER_TURN = 4;

    final EventLog log = new EventLog("frontend");
    final BalancerDriver balancerDriver;
    final ConnectionBudget connectionBudget;
    final MemoryBudget memoryBudget;
    private final BooleanSupplier upstreamReady;
    private AdmissionRules admissionRules;
    private final Set<ClientConnection> connections = new HashSet<>();
    /** Null until the frontend listens. */
    private AcceptQueueMonitor listener;
    private boolean draining;
    private boolean stopped;
    private boolean closesAfterResponses;
    private long latestDeadlineUs = Long.MAX_VALUE;

    /**
     * Creates a frontend that does not listen yet.
     *
     * @param upstreamReady whether the proxy has servers to send requests to
     */
    Frontend(BalancerDriver balancerDriver, ConnectionBudget connectionBudget, MemoryBudget memoryBudget, Balancer.Settings settings,
            BooleanSupplier upstreamReady) {
        this.balancerDriver = balancerDriver;
        this.connectionBudget = connectionBudget;
        this.memoryBudget = memoryBudget;
        this.upstreamReady = upstreamReady;
        this.admissionRules = AdmissionRules.of(settings);
    }

    /** The request classes (with their effects) and tenants whose requests are accepted, and the limits for each request. */
    record AdmissionRules(Map<String, Balancer.Effect> effects, Set<String> tenants, Balancer.Limits limits) {
        static AdmissionRules of(Balancer.Settings settings) {
            return new AdmissionRules(settings.classes().stream().collect(
                            Collectors.toUnmodifiableMap(Balancer.RequestClass::name, Balancer.RequestClass::effect)),
                    settings.tenants().stream().map(Balancer.Tenant::name).collect(Collectors.toUnmodifiableSet()),
                    settings.limits());
        }
    }

    /** Applies new settings to the exchanges that begin from now on. */
    void applySettings(Balancer.Settings settings) {
        admissionRules = AdmissionRules.of(settings);
    }

    /** Listens on a socket of this proxy's own; returns the future of its channel. */
    ChannelFuture listen(EventLoop loop, ChannelFactory<ServerChannel> transport, SocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(loop).channelFactory(transport)
                // Connections are counted after each turn's accepts, so that as many may exceed the limit of clients.
                .option(ChannelOption.RECVBUF_ALLOCATOR, new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPTS_PER_TURN))
                .option(ChannelOption.SO_BACKLOG, ACCEPT_QUEUE_LENGTH)
                .childHandler(new ClientInitializer(false)).bind(address);
        bound.addListener(done -> {
            if (done.isSuccess()) {
                startListener(bound.channel());
            }
            if (done.isSuccess() && stopped) {
                listener.close();
            }
        });
        return bound;
    }

    /**
     * Listens on a socket that other processes hold as well.
     *
     * @param failures counts the system calls that fail
     * @param onClosed runs after the listener was closed, once all clients that were accepted by then are registered here
     */
    void listen(EventLoop loop, ServerSocketChannel inherited, SystemCallFailureCounter failures, Runnable onClosed) {
        var inheritedListener = new InheritedListener(inherited, loop, failures, client -> {
            var channel = new RetryingSocketChannel(null, client.channel(), failures);
            channel.pipeline().addLast(new ClientInitializer(client.mayHaveWaited()));
            loop.register(channel);
        }, onClosed);
        startListener(inheritedListener);
        inheritedListener.start();
    }

    private void startListener(Channel channel) {
        var retrying = channel instanceof RetryingServerSocketChannel r ? r : null;
        startListener(new ClientListener() {
            @Override
            public void setAccepting(boolean on) {
                if (retrying != null) {
                    retrying.setAccepting(on);
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

    private void startListener(ClientListener delegate) {
        balancerDriver.loopMonitor().start();
        listener = new AcceptQueueMonitor(balancerDriver.loopMonitor(), delegate);
        connectionBudget.setListener(listener);
    }

    /** Sets up the channel of each accepted client. */
    private final class ClientInitializer extends ChannelInitializer<Channel> {
        private final boolean mayHaveWaitedUnnoticed;

        /**
         * Creates an initializer.
         *
         * @param mayHaveWaitedUnnoticed whether its clients may have waited where the loop does not see it
         */
        ClientInitializer(boolean mayHaveWaitedUnnoticed) {
            this.mayHaveWaitedUnnoticed = mayHaveWaitedUnnoticed;
        }

        @Override
        protected void initChannel(Channel channel) {
            // Must precede clientOpened, which may pause the listener: clients accepted after that count as having waited.
            boolean mayHaveWaited = listener.accepted() || mayHaveWaitedUnnoticed;
            var closing = new LingeringClose(channel, connectionBudget);
            connectionBudget.clientOpened(closing);
            channel.config().setRecvByteBufAllocator(Headers.clientReadBufferAllocator());
            channel.config().setWriteBufferWaterMark(Headers.WATER_MARK);
            channel.pipeline().addLast(new ClientConnection(Frontend.this, closing, mayHaveWaited));
        }
    }

    /** Returns the monitor that shows how late the event loop may be in reading its sockets. */
    EventLoopLagMonitor lagMonitor() {
        return balancerDriver.loopMonitor();
    }

    /** Returns the rules that are in force now. */
    AdmissionRules admissionRules() {
        return admissionRules;
    }

    /** Returns whether each response is to be the last on its connection. */
    boolean closesAfterResponses() {
        return closesAfterResponses;
    }

    /** Returns the time by which all requests are to be answered, in microseconds on the proxy's clock. */
    long latestDeadlineUs() {
        return latestDeadlineUs;
    }

    void connectionOpened(ClientConnection connection) {
        connections.add(connection);
    }

    void connectionClosed(ClientConnection connection) {
        connections.remove(connection);
    }

    /**
     * Starts draining: the proxy is not ready any more, and requests are answered in time.
     *
     * @param latestResponseUs the time by which all requests are to be answered, in microseconds on the proxy's clock
     */
    void drain(long latestResponseUs) {
        draining = true;
        latestDeadlineUs = latestResponseUs;
    }

    /** Returns whether this proxy is ready for clients. */
    boolean isReady() {
        return listener != null && !draining && upstreamReady.getAsBoolean();
    }

    /** Closes the listener, at once or as soon as it is bound. */
    void stopListening() {
        stopped = true;
        if (listener != null) {
            listener.close();
        }
    }

    /** Returns whether {@link #stopListening} was called. */
    boolean isStopped() {
        return stopped;
    }

    /** Makes each response from now on the last on its connection. */
    void closeAfterResponses() {
        closesAfterResponses = true;
    }

    /** Closes the connections that carry no request. */
    void closeIdleConnections() {
        List.copyOf(connections).forEach(ClientConnection::closeIfIdle);
    }

    /** Fails the requests that have no response yet, because the process is about to end. */
    void failPendingRequests() {
        List.copyOf(connections).forEach(ClientConnection::failPendingExchange);
    }

    /** Returns whether any client is still connected, waiting for a response or with its connection being closed. */
    boolean hasClients() {
        return !connections.isEmpty();
    }

    /** Returns a response that the proxy itself gives, with a line of plain text as its body. */
    static FullHttpResponse textResponse(HttpResponseStatus status, String text) {
        ByteBuf body = Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
        var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        HttpUtil.setContentLength(response, body.readableBytes());
        return response;
    }
}

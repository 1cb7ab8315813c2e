package walkpost.proxy;

import walkpost.Balancer;
import walkpost.Balancer.BackendState;
import walkpost.Balancer.Outcome;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.DuplexChannelConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.Promise;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Manages the servers on discovery's list, the connections to them and which {@link Attempt}s may be sent over these. A connection carries
 * one attempt at a time. Used on the event loop only.
 */
final class ServerConnections {
    /** A body up to this size is buffered whole; a longer one is relayed. */
    static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;

    /**
     * A request as it is sent to a server, the same for each attempt except for the time left. The body is either complete in
     * {@code body}, or passes through {@code relay} and may still be arriving from the client.
     */
    record OutgoingRequest(HttpMethod method, String uri, HttpHeaders headers, ByteBuf body, BodyRelay relay) { }

    /** A complete 200 response of a server, whose body is reserved in the budget. The receiver must write it or release it. */
    record BufferedResponse(HttpHeaders headers, ByteBuf body, MemoryBudget memoryBudget) {
        /** Releases the body, which nobody needs. */
        void release() {
            memoryBudget.release(body.capacity());
            body.release();
        }
    }

    /** An entry of discovery's list of servers, and the address at which this proxy connects to that server. */
    record ListedServer(Balancer.Backend backend, SocketAddress address) { }

    /**
     * A 200 response whose body is still arriving; {@code length} is -1 if it is unknown. The receiver must read the body to its end or
     * cancel it.
     */
    record StreamedResponse(HttpHeaders headers, long length, BodyRelay body) {
        /** Returns whether the body is known to be short enough to be buffered, though it is not, because the buffers are full. */
        boolean isShort() {
            return length >= 0 && length <= MAX_BUFFERED_BODY_BYTES;
        }
    }

    /** Is notified of the progress and the outcome of an attempt, on the event loop. */
    interface AttemptListener {
        /** Returns the request's deadline on the proxy's clock, which may move on while the request is being received. */
        long deadlineUs();

        /** Called when the attempt starts to relay a request body that is still arriving; the server cannot respond until it is sent. */
        void onBodySendingStarted();

        /** Called when the relayed request body has been sent completely. */
        void onBodySent();

        /** Called when a response starts that is too long to be buffered. */
        void onStreamedResponse(StreamedResponse response);

        /** Called once, when the attempt has ended; {@code response} is null unless it is {@link Outcome#OK} and was buffered. */
        void onEnded(Outcome outcome, long latencyUs, BufferedResponse response);
    }

    private final ProxyClock clock;
    private final EventLoop loop;
    private final ConnectionBudget connectionBudget;
    private final MemoryBudget memoryBudget;
    private final Bootstrap bootstrap;
    private long idleUs;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    /** The ids of all servers on the list, in any state. */
    private final Set<String> listedIds = new HashSet<>();
    private final Set<String> excludedIds = new HashSet<>();

    ServerConnections(ProxyClock clock, EventLoop loop, ChannelFactory<? extends Channel> transport, ConnectionBudget connectionBudget,
            MemoryBudget memoryBudget, long connIdleUs, long connectTimeoutUs) {
        this.clock = clock;
        this.loop = loop;
        this.connectionBudget = connectionBudget;
        this.memoryBudget = memoryBudget;
        this.bootstrap = new Bootstrap().group(loop).channelFactory(transport)
                .option(ChannelOption.RECVBUF_ALLOCATOR, Headers.readBufferAllocator())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, Headers.WATER_MARK);
        setTimeouts(connIdleUs, connectTimeoutUs);
    }

    /** Sets the timeouts of connections. If the idle timeout gets shorter, closes all idle connections: they may exceed it. */
    void setTimeouts(long connIdleUs, long connectTimeoutUs) {
        int connectTimeoutMs = (int) Math.max(1, connectTimeoutUs / 1_000);
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs);
        endpoints.values().forEach(endpoint -> endpoint.pool.setConnectTimeoutMs(connectTimeoutMs));
        // This side closes well before the server does: a request that crosses the server's close is reset and may have run.
        long previousIdleUs = idleUs;
        idleUs = connIdleUs * 3 / 5;
        if (idleUs < previousIdleUs) {
            endpoints.values().forEach(endpoint -> endpoint.pool.closeIdle());
        }
    }

    /** Returns the number of servers that new attempts may be sent to. */
    int availableCount() {
        return (int) endpoints.values().stream().filter(Endpoint::acceptsAttempts).count();
    }

    /**
     * Applies a list, or changes to it, from discovery.
     *
     * @return the attempts that the caller must abort: their server accepts nothing new, and none of their bytes has been sent
     */
    List<Attempt> applyList(Balancer.ListKind kind, List<ListedServer> listed) {
        var unsent = new ArrayList<Attempt>();
        if (kind != Balancer.ListKind.DELTA) {
            listedIds.clear();
        }
        for (ListedServer entry : listed) {
            if (entry.backend().state() == BackendState.GONE) {
                listedIds.remove(entry.backend().id());
            } else {
                listedIds.add(entry.backend().id());
            }
            Endpoint endpoint = endpoints.get(entry.backend().id());
            if (endpoint == null || !endpoint.address.equals(entry.address())) {
                if (endpoint != null) {
                    // The same server at another address: the old address gets no new attempts.
                    endpoint.ready = false;
                    unsent.addAll(endpoint.stopSending());
                }
                endpoint = new Endpoint(entry.backend().id(), entry.address());
                endpoints.put(entry.backend().id(), endpoint);
            }
            endpoint.setStartTime(entry.backend().startedAtUs());
            endpoint.ready = entry.backend().state() == BackendState.READY;
        }
        if (kind != Balancer.ListKind.DELTA) {
            endpoints.forEach((id, endpoint) -> endpoint.ready &= listedIds.contains(id));
        }
        endpoints.values().removeIf(endpoint -> {
            if (!endpoint.ready) {
                unsent.addAll(endpoint.stopSending());
            }
            return !endpoint.ready && endpoint.activeAttempts.isEmpty();
        });
        return unsent;
    }

    /** Returns whether a server is on the list or is excluded. */
    boolean isKnown(String id) {
        return listedIds.contains(id) || excludedIds.contains(id);
    }

    /** Excludes a server, even if the list says that it is ready; returns the attempts that the caller must abort, as for a drain. */
    List<Attempt> exclude(String id) {
        excludedIds.add(id);
        Endpoint endpoint = endpoints.get(id);
        return endpoint == null ? List.of() : endpoint.stopSending();
    }

    /** Ends the exclusion of a server. */
    void include(String id) {
        excludedIds.remove(id);
    }

    /** Closes the idle connections to a server. */
    void closeIdle(String id) {
        Endpoint endpoint = endpoints.get(id);
        if (endpoint != null) {
            endpoint.pool.closeIdle();
        }
    }

    /**
     * Creates an attempt that the caller must start.
     *
     * @param timeoutUs how long the attempt may take from its start
     * @param sendByUs the latest time, on the proxy's clock, at which the first byte may be written: if the connection is established
     *                 later, the attempt ends as {@link Outcome#NOT_SENT}
     * @return null if the server is unknown or accepts no new attempts, if no socket is left, or if the relayed request body can
     *         no longer be sent from its start
     */
    Attempt newAttempt(String id, OutgoingRequest outgoing, long timeoutUs, long sendByUs, AttemptListener listener) {
        Endpoint endpoint = endpoints.get(id);
        if (endpoint == null || !endpoint.acceptsAttempts() || !endpoint.pool.hasIdle() && !connectionBudget.makeRoomForServerConnection()
                || outgoing.relay() != null && !outgoing.relay().isReplayable()) {
            return null;
        }
        return new Attempt(clock, loop, endpoint, outgoing, timeoutUs, sendByUs, listener);
    }

    /** One server at one address: its connections and the attempts in progress. */
    final class Endpoint {
        private final String id;
        private final SocketAddress address;
        private final ConnectionPool pool;
        private final Set<Attempt> activeAttempts = new LinkedHashSet<>();
        private long startedAtUs;
        private boolean ready;

        Endpoint(String id, SocketAddress address) {
            this.id = id;
            this.address = address;
            this.pool = new ConnectionPool(bootstrap.clone().remoteAddress(address), this::setUpConnection,
                    new IdleConnections(clock::nowUs, connectionBudget), () -> idleUs);
        }

        String id() {
            return id;
        }

        /** Takes an idle connection or opens one; the promise is completed with it. Returns the connection being opened, or null. */
        ChannelFuture acquireConnection(Promise<Channel> promise) {
            return pool.acquireOrConnect(promise);
        }

        void onAttemptStarted(Attempt attempt) {
            activeAttempts.add(attempt);
        }

        void onAttemptEnded(Attempt attempt) {
            activeAttempts.remove(attempt);
        }

        private void setUpConnection(Channel channel) {
            connectionBudget.serverConnectionOpened(channel);
            if (channel.config() instanceof DuplexChannelConfig config) {
                // Only with half-closure can the end of the server's output be told apart from a close by this side.
                config.setAllowHalfClosure(true);
            }
            var handler = new ServerConnectionHandler(this, memoryBudget);
            channel.pipeline().addLast(handler.decoder(), new HttpRequestEncoder(),
                    new IdleStateHandler(0, 0, idleUs, TimeUnit.MICROSECONDS), handler);
        }

        /** Sets the time of the server's last start; if it is new, closes the idle connections, which led to the previous process. */
        void setStartTime(long newStartedAtUs) {
            if (newStartedAtUs > startedAtUs) {
                startedAtUs = newStartedAtUs;
                pool.closeIdle();
            }
        }

        /** Removes a closed connection from the pool. */
        void onConnectionClosed(Channel channel) {
            pool.onConnectionClosed(channel);
        }

        /** Returns whether new attempts may be sent to this server. */
        boolean acceptsAttempts() {
            return ready && !excludedIds.contains(id);
        }

        /** Returns a free connection to the pool, or closes it if the server accepts no new attempts. */
        void returnToPool(Channel channel) {
            if (acceptsAttempts()) {
                pool.release(channel);
            } else {
                channel.close();
            }
        }

        /**
         * Closes the idle connections and returns the attempts whose request is not written completely, so that it cannot have run. An
         * attempt that relays a request body is not returned: it has begun already and could not be sent to another server.
         */
        List<Attempt> stopSending() {
            pool.closeIdle();
            return activeAttempts.stream().filter(attempt -> !attempt.mayHaveRun() && !attempt.isRelayingBody()).toList();
        }
    }
}

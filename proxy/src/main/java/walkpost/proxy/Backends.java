package walkpost.proxy;

import walkpost.Balancer.Outcome;
import walkpost.Balancer;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.DuplexChannelConfig;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.Future;
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
 * The connections to the backends, and what becomes of the attempts sent over them. A connection carries one attempt
 * at a time. Nothing is ever sent again from here: each attempt is one that the module has asked for.
 */
final class Backends {
    static final int MAX_BODY = 64 * 1024;

    /**
     * What goes to a backend; it is the same for each attempt, but for the time left. The body is whole, or else in a
     * relay, on which it may still be coming.
     */
    record Outgoing(HttpMethod method, String uri, HttpHeaders headers, ByteBuf body, BodyRelay relay) { }

    /** A backend's 200. The body is the receiver's to release. */
    record Answer(HttpHeaders headers, ByteBuf body) { }

    /** A line of the list, and where this proxy finds that backend. */
    record Listed(Balancer.Backend backend, SocketAddress address) { }

    /** A backend's 200 that has begun; {@code length} is -1 where it is not known. The body is the receiver's to end. */
    record Stream(HttpHeaders headers, long length, BodyRelay body) { }

    /** Hears what becomes of an attempt. */
    interface AttemptListener {
        /** A body that is still coming is being passed on: until it has gone out whole, nothing can be answered. */
        void sending();

        /** That body has gone out whole. */
        void sent();

        /** A long answer has begun. */
        void streams(Stream stream);

        /** The one end; {@code answer} is there for an {@link Outcome#OK} that has not streamed. */
        void ended(Outcome outcome, long latencyUs, Answer answer);
    }

    private final Clock clock;
    private final EventLoop loop;
    private final Sockets sockets;
    private final Buffers buffers;
    private final Bootstrap bootstrap;
    private long idleUs;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    /** All that the list names, whatever it says of them. */
    private final Set<String> named = new HashSet<>();
    private final Set<String> excluded = new HashSet<>();

    Backends(Clock clock, EventLoop loop, ChannelFactory<? extends Channel> transport, Sockets sockets, Buffers buffers,
            long connIdleUs, long connectTimeoutUs) {
        this.clock = clock;
        this.loop = loop;
        this.sockets = sockets;
        this.buffers = buffers;
        this.bootstrap = new Bootstrap().group(loop).channelFactory(transport)
                .option(ChannelOption.RECVBUF_ALLOCATOR, Headers.readingLittle())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, Headers.WATER_MARK);
        tune(connIdleUs, connectTimeoutUs);
    }

    /** Takes the times over that connections have, the first or others. What is idle now has been there by the old ones. */
    void tune(long connIdleUs, long connectTimeoutUs) {
        int connectMs = (int) Math.max(1, connectTimeoutUs / 1_000);
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMs);
        endpoints.values().forEach(t -> t.pool.connectTimeout(connectMs));
        // Well before the backend does: a request that crosses its close ends as a reset, and may have run.
        long before = idleUs;
        idleUs = connIdleUs * 3 / 5;
        if (idleUs < before) {
            endpoints.values().forEach(t -> t.pool.closeIdle());
        }
    }

    /** Returns how many backends there are to send to. */
    int ready() {
        return (int) endpoints.values().stream().filter(Endpoint::open).count();
    }

    /**
     * Takes over what discovery tells.
     *
     * @return the attempts that are to be stopped, as no byte of theirs has gone to a backend that wants nothing new
     */
    List<Attempt> update(Balancer.ListKind kind, List<Listed> listed) {
        var unsent = new ArrayList<Attempt>();
        if (kind != Balancer.ListKind.DELTA) {
            named.clear();
        }
        for (Listed l : listed) {
            if (l.backend().state() == Balancer.State.GONE) {
                named.remove(l.backend().id());
            } else {
                named.add(l.backend().id());
            }
            Endpoint endpoint = endpoints.get(l.backend().id());
            if (endpoint == null || !endpoint.address.equals(l.address())) {
                if (endpoint != null) {
                    // The same backend in another place: the old one gets nothing new.
                    endpoint.ready = false;
                    unsent.addAll(endpoint.stopped());
                }
                endpoint = new Endpoint(l.backend().id(), l.address());
                endpoints.put(l.backend().id(), endpoint);
            }
            endpoint.startedAt(l.backend().startedAtUs());
            endpoint.ready = l.backend().state() == Balancer.State.READY;
        }
        if (kind != Balancer.ListKind.DELTA) {
            endpoints.forEach((id, t) -> t.ready &= named.contains(id));
        }
        endpoints.values().removeIf(t -> {
            if (!t.ready) {
                unsent.addAll(t.stopped());
            }
            return !t.ready && t.out.isEmpty();
        });
        return unsent;
    }

    /** Returns whether the list names a backend, or the operators have taken it out. */
    boolean knows(String id) {
        return named.contains(id) || excluded.contains(id);
    }

    /** Takes a backend out, whatever the list says; returns the attempts that are to be stopped, as for a drain. */
    List<Attempt> exclude(String id) {
        excluded.add(id);
        Endpoint endpoint = endpoints.get(id);
        return endpoint == null ? List.of() : endpoint.stopped();
    }

    void include(String id) {
        excluded.remove(id);
    }

    /** Closes the idle connections to a backend. */
    void release(String id) {
        Endpoint endpoint = endpoints.get(id);
        if (endpoint != null) {
            endpoint.pool.closeIdle();
        }
    }

    /**
     * Returns an attempt that is yet to be started, or null where there is no such backend or no socket left.
     *
     * @param timeoutUs how long the attempt may take from its start
     * @param sendByUs the last moment, on the proxy's clock, at which its first byte may be written: where a connection
     *                 comes up later than that, the attempt ends as never sent
     */
    Attempt attempt(String id, Outgoing outgoing, long timeoutUs, long sendByUs, AttemptListener listener) {
        Endpoint endpoint = endpoints.get(id);
        if (endpoint == null || !endpoint.open() || !endpoint.pool.hasIdle() && !sockets.roomForBackend()
                || outgoing.relay() != null && !outgoing.relay().fresh()) {
            return null;
        }
        return new Attempt(endpoint, outgoing, timeoutUs, sendByUs, listener);
    }

    /** One backend. */
    final class Endpoint {
        private final String id;
        private final SocketAddress address;
        private final ConnectionPool pool;
        private final Set<Attempt> out = new LinkedHashSet<>();
        private long startedAtUs;
        private boolean ready;

        Endpoint(String id, SocketAddress address) {
            this.id = id;
            this.address = address;
            this.pool = new ConnectionPool(bootstrap.clone().remoteAddress(address), this::opened,
                    new RestingConnections(clock::now, sockets), () -> idleUs);
        }

        private void opened(Channel channel) {
            sockets.backendOpened(channel);
            if (channel.config() instanceof DuplexChannelConfig config) {
                // Else nothing tells an end that the backend has sent from a close of this side's.
                config.setAllowHalfClosure(true);
            }
            var connection = new BackendConnection(this, buffers);
            channel.pipeline().addLast(connection.decoder(), new HttpRequestEncoder(),
                    new IdleStateHandler(0, 0, idleUs, TimeUnit.MICROSECONDS), connection);
        }

        /** Takes the time of its last start: what was opened to the process before that leads nowhere. */
        void startedAt(long us) {
            if (us > startedAtUs) {
                startedAtUs = us;
                pool.closeIdle();
            }
        }

        /** A connection to it has ended. */
        void closed(Channel channel) {
            pool.closed(channel);
        }

        /** Returns whether it may be sent anything new. */
        boolean open() {
            return ready && !excluded.contains(id);
        }

        /** Keeps a connection that is free for the next attempt, if there may be one. */
        void keep(Channel channel) {
            if (open()) {
                pool.release(channel);
            } else {
                channel.close();
            }
        }

        /**
         * Closes what is idle; returns the attempts that have not been written whole and so never ran. One whose body is
         * on its way has begun before, and could not be sent elsewhere.
         */
        List<Attempt> stopped() {
            pool.closeIdle();
            return out.stream().filter(a -> !a.mayHaveRun() && !a.sending).toList();
        }
    }

    /** One attempt, from the wish for a connection to its end. */
    final class Attempt implements BodyRelay.Sink {
        private final Endpoint endpoint;
        private final Outgoing outgoing;
        private final long timeoutUs;
        private final long sendByUs;
        private final AttemptListener listener;
        private long startedAt;
        private long firstBytesAt;
        private Future<?> timer;
        private ChannelFuture connecting;
        private Channel channel;
        private boolean sending;
        /** What the last byte is written with; null before that. */
        private ChannelPromise last;
        private boolean ended;

        private Attempt(Endpoint endpoint, Outgoing outgoing, long timeoutUs, long sendByUs, AttemptListener listener) {
            this.endpoint = endpoint;
            this.outgoing = outgoing;
            this.timeoutUs = timeoutUs;
            this.sendByUs = sendByUs;
            this.listener = listener;
        }

        void start() {
            startedAt = clock.now();
            endpoint.out.add(this);
            waitForAnswer();
            Promise<Channel> promise = loop.newPromise();
            connecting = endpoint.pool.acquireOrConnect(promise);
            promise.addListener((Future<Channel> f) -> connected(f));
        }

        private void waitForAnswer() {
            // Before its last byte is written it has not run for certain; after that it may, even if nothing comes.
            timer = loop.schedule(() -> abort(mayHaveRun() ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED), timeoutUs,
                    TimeUnit.MICROSECONDS);
        }

        private void connected(Future<Channel> f) {
            connecting = null;
            if (!f.isSuccess()) {
                // Where this machine had no socket to give, nothing is known of the backend.
                end(f.cause() instanceof ChannelException ? Outcome.NOT_SENT : Outcome.CONNECT_FAILED, null);
            } else if (ended || !endpoint.open() || clock.now() > sendByUs) {
                // It has come too late for this attempt, but may serve another.
                endpoint.keep(f.getNow());
                end(Outcome.NOT_SENT, null);
            } else {
                channel = f.getNow();
                try {
                    write();
                } catch (RuntimeException e) {
                    // A request that can't be written down has gone nowhere; nobody else must suffer for it.
                    abort(mayHaveRun() ? Outcome.ERROR : Outcome.NOT_SENT);
                }
            }
        }

        private void write() {
            channel.pipeline().get(BackendConnection.class).carry(this);
            if (outgoing.relay() != null) {
                pass();
                return;
            }
            var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, outgoing.method(), outgoing.uri(),
                    outgoing.body().retainedDuplicate());
            copyHeaders(request);
            if (!outgoing.method().equals(HttpMethod.GET) || request.content().isReadable()) {
                HttpUtil.setContentLength(request, request.content().readableBytes());
            }
            writeLast(request);
        }

        private void writeLast(Object message) {
            last = channel.newPromise();
            channel.writeAndFlush(message, last);
            last.addListener(this::written);
        }

        /**
         * Returns whether the last byte may have left, so that the request may have run. Netty may put off calling
         * whoever waits to hear that, so it is asked what still waits to be written.
         */
        boolean mayHaveRun() {
            if (last == null || last.isDone()) {
                return last != null && last.isSuccess();
            }
            ChannelOutboundBuffer waiting = channel.unsafe().outboundBuffer();
            return waiting == null || waiting.isEmpty();
        }

        private void copyHeaders(HttpRequest request) {
            Headers.copyEndToEnd(outgoing.headers(), request.headers());
            request.headers().set(Headers.TIMEOUT, Math.max(1, startedAt + timeoutUs - clock.now()) + "u");
        }

        private void written(Future<?> done) {
            if (!done.isSuccess()) {
                abort(Outcome.CONNECT_FAILED);
            } else if (sending && !ended) {
                sending = false;
                waitForAnswer();
                listener.sent();
            }
        }

        /** Passes a body on that is still coming. How long that takes is the client's affair; the answer is due after it. */
        private void pass() {
            var request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, outgoing.method(), outgoing.uri());
            copyHeaders(request);
            String length = outgoing.headers().get(HttpHeaderNames.CONTENT_LENGTH);
            if (length == null) {
                HttpUtil.setTransferEncodingChunked(request, true);
            } else {
                request.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
            }
            channel.write(request);
            timer.cancel(false);
            sending = true;
            listener.sending();
            outgoing.relay().to(this);
        }

        @Override
        public Channel channel() {
            return channel;
        }

        @Override
        public void end(HttpHeaders trailers) {
            writeLast(Headers.last(trailers));
        }

        @Override
        public void broken() {
            // The client's doing, of which the backend has had no whole request.
            abort(Outcome.NOT_SENT);
        }

        /** Returns whether its body is on its way, and its connection takes no more of it. */
        boolean isStuck() {
            return sending && !channel.isWritable();
        }

        /** The connection takes more. */
        void flow() {
            if (sending) {
                outgoing.relay().flow();
            }
        }

        /** A long answer has begun: from now on no time-out runs, and the latency is known. */
        void streams(Stream stream) {
            timer.cancel(false);
            firstBytesAt = clock.now();
            listener.streams(stream);
        }

        /** Ends the attempt from this side. Its connection is closed first: no other attempt goes out beside it. */
        void abort(Outcome outcome) {
            if (ended) {
                return;
            }
            ended = true;
            if (channel != null) {
                channel.close();
            } else if (connecting != null) {
                Channels.close(connecting.channel());
            }
            report(outcome, null);
        }

        /** Ends the attempt with what has come over its connection. */
        void end(Outcome outcome, Answer answer) {
            if (!ended) {
                ended = true;
                report(outcome, answer);
            } else if (answer != null) {
                answer.body().release();
            }
        }

        private void report(Outcome outcome, Answer answer) {
            timer.cancel(false);
            endpoint.out.remove(this);
            if (sending) {
                sending = false;
                outgoing.relay().detach();
            }
            listener.ended(outcome, (firstBytesAt > 0 ? firstBytesAt : clock.now()) - startedAt, answer);
        }
    }
}

package walkpost.proxy;

import walkpost.Balancer.Outcome;
import walkpost.Balancer;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.pool.AbstractChannelPoolHandler;
import io.netty.channel.pool.ChannelPoolHandler;
import io.netty.channel.pool.SimpleChannelPool;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
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
     * passage, on which it may still be coming.
     */
    record Outgoing(HttpMethod method, String uri, HttpHeaders headers, ByteBuf body, Passage passage) { }

    /** A backend's 200. The body is the receiver's to release. */
    record Answer(HttpHeaders headers, ByteBuf body) { }

    /** A line of the list, and where this proxy finds that backend. */
    record Listed(Balancer.Backend backend, SocketAddress address) { }

    /** A backend's 200 that has begun; {@code length} is -1 where it is not known. The body is the receiver's to end. */
    record Stream(HttpHeaders headers, long length, Passage body) { }

    /** Hears what becomes of an attempt. */
    interface Hearer {
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
    private final Map<String, Target> targets = new HashMap<>();
    /** All that the list names, whatever it says of them. */
    private final Set<String> named = new HashSet<>();
    private final Set<String> excluded = new HashSet<>();

    Backends(Clock clock, EventLoop loop, Class<? extends Channel> transport, Sockets sockets, Buffers buffers,
            long connIdleUs, long connectTimeoutUs) {
        this.clock = clock;
        this.loop = loop;
        this.sockets = sockets;
        this.buffers = buffers;
        this.bootstrap = new Bootstrap().group(loop).channel(transport)
                .option(ChannelOption.RECVBUF_ALLOCATOR, Headers.readingLittle())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, Headers.WATER_MARK)
                // Else nothing tells an end that the backend has sent from a close of this side's.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true);
        tune(connIdleUs, connectTimeoutUs);
    }

    /** Takes the times over that connections have, the first or others. What is idle now has been there by the old ones. */
    void tune(long connIdleUs, long connectTimeoutUs) {
        int connectMs = (int) Math.max(1, connectTimeoutUs / 1_000);
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMs);
        targets.values().forEach(t -> t.pool.connectTimeout(connectMs));
        // Well before the backend does: a request that crosses its close ends as a reset, and may have run.
        long before = idleUs;
        idleUs = connIdleUs * 3 / 5;
        if (idleUs < before) {
            targets.values().forEach(t -> t.pool.closeIdle());
        }
    }

    /** Returns how many backends there are to send to. */
    int ready() {
        return (int) targets.values().stream().filter(Target::open).count();
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
            Target target = targets.get(l.backend().id());
            if (target == null || !target.address.equals(l.address())) {
                if (target != null) {
                    // The same backend in another place: the old one gets nothing new.
                    target.ready = false;
                    unsent.addAll(target.stopped());
                }
                target = new Target(l.backend().id(), l.address());
                targets.put(l.backend().id(), target);
            }
            target.startedAt(l.backend().startedAtUs());
            target.ready = l.backend().state() == Balancer.State.READY;
        }
        if (kind != Balancer.ListKind.DELTA) {
            targets.forEach((id, t) -> t.ready &= named.contains(id));
        }
        targets.values().removeIf(t -> {
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
        Target target = targets.get(id);
        return target == null ? List.of() : target.stopped();
    }

    void include(String id) {
        excluded.remove(id);
    }

    /** Closes the idle connections to a backend. */
    void release(String id) {
        Target target = targets.get(id);
        if (target != null) {
            target.pool.closeIdle();
        }
    }

    /** Returns an attempt that is yet to be started, or null where there is no such backend or no socket left. */
    Attempt attempt(String id, Outgoing outgoing, long timeoutUs, Hearer hearer) {
        return attempt(id, outgoing, timeoutUs, Long.MAX_VALUE, hearer);
    }

    /**
     * Returns an attempt that is yet to be started, or null where there is no such backend or no socket left.
     *
     * @param timeoutUs how long the attempt may take from its start
     * @param sendByUs the last moment, on the proxy's clock, at which its first byte may be written: where a connection
     *                 comes up later than that, the attempt ends as never sent
     */
    Attempt attempt(String id, Outgoing outgoing, long timeoutUs, long sendByUs, Hearer hearer) {
        Target target = targets.get(id);
        if (target == null || !target.open() || !target.pool.hasIdle() && !sockets.roomForBackend()
                || outgoing.passage() != null && !outgoing.passage().fresh()) {
            return null;
        }
        return new Attempt(target, outgoing, timeoutUs, sendByUs, hearer);
    }

    /** One backend. */
    private final class Target {
        private final String id;
        private final SocketAddress address;
        private final Pool pool;
        private final Set<Attempt> out = new LinkedHashSet<>();
        private long startedAtUs;
        private boolean ready;

        Target(String id, SocketAddress address) {
            this.id = id;
            this.address = address;
            this.pool = new Pool(bootstrap.clone().remoteAddress(address), new AbstractChannelPoolHandler() {
                @Override
                public void channelCreated(Channel channel) {
                    sockets.backendOpened(channel);
                    var connection = new Connection(Target.this);
                    channel.pipeline().addLast(connection.decoder, new HttpRequestEncoder(),
                            new IdleStateHandler(0, 0, idleUs, TimeUnit.MICROSECONDS), connection);
                }
            });
        }

        /** Takes the time of its last start: what was opened to the process before that leads nowhere. */
        void startedAt(long us) {
            if (us > startedAtUs) {
                startedAtUs = us;
                pool.closeIdle();
            }
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

    /** Netty's pool, which leaves the keeping of the idle connections to its subclass. */
    private final class Pool extends SimpleChannelPool {
        private final RestingConnections idle = new RestingConnections(clock::now, sockets);
        private ChannelFuture connecting;

        Pool(Bootstrap bootstrap, ChannelPoolHandler handler) {
            super(bootstrap, handler);
        }

        void connectTimeout(int ms) {
            bootstrap().option(ChannelOption.CONNECT_TIMEOUT_MILLIS, ms);
        }

        boolean hasIdle() {
            return !idle.isEmpty();
        }

        @Override
        protected ChannelFuture connectChannel(Bootstrap to) {
            connecting = super.connectChannel(to);
            return connecting;
        }

        /** Takes a connection; returns the one that is being opened for it, or null. */
        ChannelFuture acquireOrConnect(Promise<Channel> promise) {
            connecting = null;
            acquire(promise);
            return connecting;
        }

        @Override
        protected Channel pollChannel() {
            return idle.take(idleUs);
        }

        @Override
        protected boolean offerChannel(Channel channel) {
            idle.add(channel);
            return true;
        }

        void closed(Channel channel) {
            idle.remove(channel);
        }

        void closeIdle() {
            idle.close();
        }
    }

    /** One attempt, from the wish for a connection to its end. */
    final class Attempt implements Passage.Sink {
        private final Target target;
        private final Outgoing outgoing;
        private final long timeoutUs;
        private final long sendByUs;
        private final Hearer hearer;
        private long startedAt;
        private long firstBytesAt;
        private Future<?> timer;
        private ChannelFuture connecting;
        private Channel channel;
        private boolean sending;
        /** What the last byte is written with; null before that. */
        private ChannelPromise last;
        private boolean ended;

        private Attempt(Target target, Outgoing outgoing, long timeoutUs, long sendByUs, Hearer hearer) {
            this.target = target;
            this.outgoing = outgoing;
            this.timeoutUs = timeoutUs;
            this.sendByUs = sendByUs;
            this.hearer = hearer;
        }

        void start() {
            startedAt = clock.now();
            target.out.add(this);
            waitForAnswer();
            Promise<Channel> promise = loop.newPromise();
            connecting = target.pool.acquireOrConnect(promise);
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
                end(Outcome.CONNECT_FAILED, null);
            } else if (ended || !target.open() || clock.now() > sendByUs) {
                // It has come too late for this attempt, but may serve another.
                target.keep(f.getNow());
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
            channel.pipeline().get(Connection.class).attempt = this;
            if (outgoing.passage() != null) {
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
                hearer.sent();
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
            hearer.sending();
            outgoing.passage().to(this);
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

        /** The connection takes more. */
        private void flow() {
            if (sending) {
                outgoing.passage().flow();
            }
        }

        /** A long answer has begun: from now on no time-out runs, and the latency is known. */
        private void streams(Stream stream) {
            timer.cancel(false);
            firstBytesAt = clock.now();
            hearer.streams(stream);
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
                connecting.channel().close();
            }
            report(outcome, null);
        }

        private void end(Outcome outcome, Answer answer) {
            if (!ended) {
                ended = true;
                report(outcome, answer);
            } else if (answer != null) {
                answer.body().release();
            }
        }

        private void report(Outcome outcome, Answer answer) {
            timer.cancel(false);
            target.out.remove(this);
            if (sending) {
                sending = false;
                outgoing.passage().detach();
            }
            hearer.ended(outcome, (firstBytesAt > 0 ? firstBytesAt : clock.now()) - startedAt, answer);
        }
    }

    /** The reading side of a connection to a backend. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> implements Passage.Source {
        private final Target target;
        private final BackendDecoder decoder = new BackendDecoder(this::due);
        private Channel channel;
        private Attempt attempt;
        /** The answer that is coming, and what of it has come; a long one is passed on instead. */
        private HttpResponse head;
        private ByteBuf body = Unpooled.EMPTY_BUFFER;
        private Passage passage;
        private HttpHeaders trailers;
        /** Something came of it before the request had gone out whole. */
        private boolean early;
        /** Between an interim answer and the next. */
        private boolean interim;
        private boolean sound;
        /** Nothing more is wanted of the answer; it is handed on when the read under way is over. */
        private boolean done;
        private boolean broken;

        Connection(Target target) {
            this.target = target;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        private boolean due() {
            early |= attempt != null && !attempt.mayHaveRun();
            return attempt != null;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (broken) {
                return;
            }
            if (message instanceof HttpResponse response) {
                if (attempt == null || done) {
                    // An answer that nobody has asked for: what comes next on this connection can't be trusted.
                    channel.close();
                } else if (!interim(response)) {
                    head(response);
                }
            }
            if (message instanceof HttpContent content) {
                content(content);
            }
        }

        private boolean interim(HttpResponse response) {
            interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL && readable(response);
            return interim;
        }

        private void head(HttpResponse response) {
            head = response;
            sound = readable(response);
            if (attempt.mayHaveRun() ? early : outcome() != Outcome.FULL) {
                // No server answers what it has not had whole, unless to turn it away: this is some other answer.
                head = null;
                attempt.abort(attempt.mayHaveRun() ? Outcome.ERROR : Outcome.CONNECT_FAILED);
                return;
            }
            if (!sound) {
                done = true;
            } else if (HttpUtil.getContentLength(response, 0L) > MAX_BODY) {
                longAnswer();
            }
        }

        /** An answer of which more comes than is taken in whole. */
        private void longAnswer() {
            if (outcome() != Outcome.OK) {
                // Nobody wants to read the rest of it.
                done = true;
                return;
            }
            passage = new Passage(body, this, buffers);
            body = Unpooled.EMPTY_BUFFER;
            attempt.streams(new Stream(head.headers(), HttpUtil.getContentLength(head, -1L), passage));
        }

        private void content(HttpContent content) {
            boolean last = content instanceof LastHttpContent;
            if (interim || head == null || done) {
                early &= !interim;
                interim &= !last;
                return;
            }
            sound = content.decoderResult().isSuccess();
            int bytes = content.content().readableBytes();
            if (sound && passage == null && bytes > 0 && (body.readableBytes() + bytes > MAX_BODY || buffers.full())) {
                longAnswer();
            }
            if (sound && passage != null) {
                passage.add(content.content().retain());
            } else if (sound && !done) {
                body = Headers.gather(body, content.content(), channel.alloc(), buffers);
            }
            if (last && sound) {
                trailers = ((LastHttpContent) content).trailingHeaders();
            }
            done |= last || !sound;
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
            settle();
            super.channelReadComplete(ctx);
        }

        /**
         * Hands the answer on, only now that all that came with it is read: the next attempt may take this very
         * connection, and would be given whatever the backend has sent behind the answer.
         */
        private void settle() {
            if (!done || attempt == null) {
                return;
            }
            Attempt a = attempt;
            Outcome outcome = outcome();
            HttpHeaders headers = head.headers();
            ByteBuf whole = body;
            Passage passed = passage;
            boolean reusable = trailers != null && a.mayHaveRun() && HttpUtil.isKeepAlive(head)
                    && channel.isActive() && decoder.isClear();
            HttpHeaders last = trailers;
            forget();
            // Back into the pool before the module hears: what it sends next may take this very connection.
            if (reusable) {
                target.keep(channel);
            } else {
                channel.close();
            }
            buffers.letGo(whole.readableBytes());
            if (passed != null && last != null) {
                passed.end(last);
                a.end(Outcome.OK, null);
            } else if (passed != null) {
                passed.breakOff();
                a.end(Outcome.RESET, null);
            } else if (outcome == Outcome.OK) {
                a.end(outcome, new Answer(headers, whole));
            } else {
                whole.release();
                a.end(outcome, null);
            }
        }

        private void forget() {
            attempt = null;
            head = null;
            body = Unpooled.EMPTY_BUFFER;
            passage = null;
            trailers = null;
            early = false;
            done = false;
        }

        /** Nobody has asked for another protocol, and what follows an agreement to one is no answer of HTTP/1. */
        private static boolean readable(HttpResponse response) {
            return response.decoderResult().isSuccess() && response.protocolVersion().majorVersion() == 1
                    && !response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
        }

        private Outcome outcome() {
            int status = head.status().code();
            if (sound && status == 200) {
                return Outcome.OK;
            }
            boolean turnedAway = (status == 503 || status == 504) && "1".equals(head.headers().get(Headers.NOT_PROCESSED));
            return sound && turnedAway ? Outcome.FULL : Outcome.ERROR;
        }

        @Override
        public void reading(boolean on) {
            channel.config().setAutoRead(on);
        }

        @Override
        public void unwanted() {
            if (attempt != null) {
                attempt.abort(Outcome.CANCELLED);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) throws Exception {
            if (attempt != null) {
                attempt.flow();
            }
            super.channelWritabilityChanged(ctx);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) throws Exception {
            target.pool.closed(channel);
            settle();
            Attempt a = attempt;
            Passage passed = passage;
            buffers.letGo(body.readableBytes());
            body.release();
            forget();
            if (passed != null) {
                passed.breakOff();
            }
            if (a != null) {
                a.end(a.mayHaveRun() ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
            }
            super.channelInactive(ctx);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
            if (event instanceof IdleStateEvent) {
                // An attempt has its time-out; a body that is passed on has none but this.
                boolean silent = passage != null && channel.config().isAutoRead();
                boolean stuck = attempt != null && attempt.sending && !channel.isWritable();
                if (attempt == null || silent || stuck) {
                    ctx.close();
                }
            }
            if (event instanceof ChannelInputShutdownEvent) {
                // The decoder has gone before: an answer that ends in this way is whole by now.
                ctx.close();
            }
            super.userEventTriggered(ctx, event);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // What the decoder makes of the end that follows is no end of an answer.
            broken = true;
            ctx.close();
        }
    }
}

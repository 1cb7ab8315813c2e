package walkpost.proxy;

import walkpost.Balancer.Outcome;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.util.concurrent.TimeUnit;

/**
 * One attempt to have a request served, from acquiring a connection to its outcome. It never retries: each attempt is one that the balancer
 * requested. Used on the event loop only.
 */
final class Attempt implements BodyRelay.Sink {
    private static final EventLog LOG = new EventLog("proxy");

    private final ProxyClock clock;
    private final EventLoop loop;
    private final ServerConnections.Endpoint endpoint;
    private final ServerConnections.OutgoingRequest outgoing;
    private final long timeoutUs;
    private final long sendByUs;
    private final ServerConnections.AttemptListener listener;
    private long startedAtUs;
    /** The time at which a relayed response started, on the proxy's clock; 0 if none has. */
    private long responseStartedAtUs;
    private Future<?> timer;
    private ChannelFuture connecting;
    private Channel channel;
    /** True while a request body that still arrives from the client is relayed to the server. */
    private boolean relayingBody;
    /** Completes when the last byte of the request is written; null before that write begins. */
    private ChannelPromise lastWrite;
    private final ResponseProgress responseProgress = new ResponseProgress();
    private boolean ended;

    /** Creates an attempt that has not started; the parameters are those of {@link ServerConnections#newAttempt}. */
    Attempt(ProxyClock clock, EventLoop loop, ServerConnections.Endpoint endpoint, ServerConnections.OutgoingRequest outgoing,
            long timeoutUs, long sendByUs, ServerConnections.AttemptListener listener) {
        this.clock = clock;
        this.loop = loop;
        this.endpoint = endpoint;
        this.outgoing = outgoing;
        this.timeoutUs = timeoutUs;
        this.sendByUs = sendByUs;
        this.listener = listener;
    }

    void start() {
        startedAtUs = clock.nowUs();
        endpoint.onAttemptStarted(this);
        startTimeout(timeoutUs);
        Promise<Channel> promise = loop.newPromise();
        connecting = endpoint.acquireConnection(promise);
        promise.addListener((Future<Channel> acquired) -> onConnection(acquired));
    }

    private void startTimeout(long afterUs) {
        timer = loop.schedule(this::timedOut, afterUs, TimeUnit.MICROSECONDS);
    }

    private void timedOut() {
        if (!ended && channel != null && responseProgress.isComing(clock.nowUs(), listener.deadlineUs())
                && channel.pipeline().get(ServerConnectionHandler.class).relayUnfinishedResponse()) {
            return;
        }
        // Before the last byte is written the request cannot have run; after that it may have, even if no response arrives.
        abort(mayHaveRun() ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
    }

    private void onConnection(Future<Channel> acquired) {
        connecting = null;
        if (!acquired.isSuccess()) {
            // A ChannelException means that this machine could not create a socket, which says nothing about the server.
            end(acquired.cause() instanceof ChannelException ? Outcome.NOT_SENT : Outcome.CONNECT_FAILED, null);
        } else if (ended || !endpoint.acceptsAttempts() || clock.nowUs() > sendByUs) {
            // The connection was established too late for this attempt, but another attempt may use it.
            endpoint.returnToPool(acquired.getNow());
            end(Outcome.NOT_SENT, null);
        } else {
            channel = acquired.getNow();
            try {
                writeRequest();
            } catch (RuntimeException e) {
                // A request that cannot be encoded has not been sent; the failure must not affect other requests.
                abort(mayHaveRun() ? Outcome.ERROR : Outcome.NOT_SENT);
            }
        }
    }

    private void writeRequest() {
        channel.pipeline().get(ServerConnectionHandler.class).assign(this);
        if (outgoing.relay() != null) {
            startBodyRelay();
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
        lastWrite = channel.newPromise();
        channel.writeAndFlush(message, lastWrite);
        lastWrite.addListener(this::onLastWritten);
    }

    /**
     * Returns whether the last byte of the request may have left this machine, so that the server may have run it. Netty may delay the
     * listeners of a completed write, so the outbound buffer is checked as well.
     */
    boolean mayHaveRun() {
        if (lastWrite == null || lastWrite.isDone()) {
            return lastWrite != null && lastWrite.isSuccess();
        }
        ChannelOutboundBuffer unwritten = channel.unsafe().outboundBuffer();
        return unwritten == null || unwritten.isEmpty();
    }

    private void copyHeaders(HttpRequest request) {
        Headers.copyEndToEnd(outgoing.headers(), request.headers());
        request.headers().set(Headers.TIMEOUT, Math.max(1, startedAtUs + timeoutUs - clock.nowUs()) + "u");
    }

    private void onLastWritten(Future<?> write) {
        if (!write.isSuccess()) {
            abort(Outcome.CONNECT_FAILED);
        } else if (relayingBody && !ended) {
            relayingBody = false;
            timer.cancel(false);
            startTimeout(Math.min(timeoutUs, listener.deadlineUs() - clock.nowUs()));
            listener.onBodySent();
        }
    }

    /**
     * Sends the request head and starts to relay the body. Meanwhile the attempt may take until the request's deadline, which moves on
     * as long as the client is what the body waits for; the timeout for the response starts when the body is sent.
     */
    private void startBodyRelay() {
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
        startBodyTimeout();
        relayingBody = true;
        listener.onBodySendingStarted();
        outgoing.relay().relayTo(this);
    }

    /** Ends the attempt at the request's deadline, unless that moves on while the body is relayed. */
    private void startBodyTimeout() {
        timer = loop.schedule(this::checkBodyDeadline, listener.deadlineUs() - clock.nowUs(), TimeUnit.MICROSECONDS);
    }

    private void checkBodyDeadline() {
        if (listener.deadlineUs() > clock.nowUs()) {
            startBodyTimeout();
        } else {
            LOG.warn("body_not_taken", "request", outgoing.headers().get(Headers.REQUEST_ID), "server", endpoint.id(),
                    "after_ms", (clock.nowUs() - startedAtUs) / 1_000);
            timedOut();
        }
    }

    @Override
    public Channel channel() {
        return channel;
    }

    @Override
    public void bodyCompleted(HttpHeaders trailers) {
        writeLast(Headers.lastContent(trailers));
    }

    @Override
    public void bodyAborted() {
        // The client broke off its body, so the server has not received a complete request.
        abort(Outcome.NOT_SENT);
    }

    /** Returns whether a request body is being relayed, so that the request has begun and cannot be sent to another server. */
    boolean isRelayingBody() {
        return relayingBody;
    }

    /** Returns whether a request body is being relayed and the connection to the server is not writable. */
    boolean isSendBlocked() {
        return relayingBody && !channel.isWritable();
    }

    /** Continues a relayed request body after the connection's writability has changed. */
    void resumeSending() {
        if (relayingBody) {
            outgoing.relay().transfer();
        }
    }

    /**
     * Reports a response that is relayed: its latency is measured now. The last byte of a short one is still due by the request's
     * deadline, and one of unknown length must go on until it is known to be long; no timeout runs for a long one.
     */
    void beginStreamedResponse(ServerConnections.StreamedResponse response) {
        timer.cancel(false);
        if (response.isShort()) {
            startTimeout(listener.deadlineUs() - clock.nowUs());
        } else if (response.length() < 0) {
            checkResponseProgress();
        }
        responseStartedAtUs = clock.nowUs();
        listener.onStreamedResponse(response);
    }

    /** Notes that a part of the response has been read; the head counts as a part without bytes. */
    void responsePartRead(int bytes) {
        responseProgress.onRead(clock.nowUs(), bytes);
    }

    /** Ends a relayed response of unknown length once its server has stopped, unless it is known to be a long one. */
    private void checkResponseProgress() {
        if (ended || responseProgress.isLong()) {
            return;
        }
        long nowUs = clock.nowUs();
        if (responseProgress.isComing(nowUs, listener.deadlineUs())) {
            long delayUs = responseProgress.stalledAtUs(listener.deadlineUs()) - nowUs;
            timer = loop.schedule(this::checkResponseProgress, delayUs, TimeUnit.MICROSECONDS);
        } else {
            LOG.warn("response_stalled", "request", outgoing.headers().get(Headers.REQUEST_ID), "server", endpoint.id(),
                    "after_ms", (nowUs - startedAtUs) / 1_000);
            abort(Outcome.TIMEOUT);
        }
    }

    /** Ends the attempt from this side. Its connection is closed first, so that no other attempt is sent while this one is open. */
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

    /** Ends the attempt with the outcome seen on its connection. */
    void end(Outcome outcome, ServerConnections.BufferedResponse response) {
        if (!ended) {
            ended = true;
            report(outcome, response);
        } else if (response != null) {
            response.release();
        }
    }

    private void report(Outcome outcome, ServerConnections.BufferedResponse response) {
        timer.cancel(false);
        endpoint.onAttemptEnded(this);
        if (relayingBody) {
            relayingBody = false;
            outgoing.relay().detachSink();
        }
        listener.onEnded(outcome, (responseStartedAtUs > 0 ? responseStartedAtUs : clock.nowUs()) - startedAtUs, response);
    }
}

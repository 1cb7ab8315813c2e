package walkpost.proxy;

import walkpost.Balancer;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import java.util.List;
import java.util.Locale;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One request of a client and its one response. Used on the event loop only. */
final class ClientExchange implements BalancerDriver.Responder, BodyRelay.Sink {
    private static final Pattern TIMEOUT = Pattern.compile("(\\d{1,8})([mu])");
    private static final Pattern COST = Pattern.compile("\\d{1,9}");
    /** Subtracted from the client's timeout: a response takes a moment to arrive, and the proxy may be late by a few milliseconds. */
    private static final long RESPONSE_MARGIN_US = 8_000;

    /** Thrown for a request that is not forwarded to a server; carries the status of the response. */
    private static final class RejectedRequestException extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient HttpResponseStatus status;

        RejectedRequestException(HttpResponseStatus status, String message) {
            super(message, null, false, false);
            this.status = status;
        }
    }

    private final Frontend frontend;
    private final ClientConnection connection;
    private final HttpRequest head;
    private final int headBytes;
    private final Frontend.AdmissionRules rulesAtArrival;
    private final ByteBuf body;
    /** Relays a request body that is too long to be collected; null if {@link #body} is the whole body. */
    private final BodyRelay requestRelay;
    /** Gives the earliest time at which the client may have written the whole request. */
    private LongSupplier completionUs;
    private boolean requestComplete;
    private long timeoutUs;
    private String id;
    /** Relays a long response body; set from the start of that response to its end. */
    private BodyRelay responseRelay;
    /** Whether the connection stays open after the response. */
    private boolean keepAlive;
    /** Whether the connection is to be closed after the response, unless other requests wait for theirs. */
    private boolean mustClose;
    private boolean released;

    /** Creates the exchange of a request that has been received whole; the exchange releases the body. */
    static ClientExchange ofReceived(Frontend frontend, ClientConnection connection, HttpRequest head,
            int headBytes, Frontend.AdmissionRules rulesAtArrival, ByteBuf body) {
        long completedAtUs = connection.lastReadAtUs();
        return new ClientExchange(frontend, connection, head, headBytes, rulesAtArrival, body, null, () -> completedAtUs);
    }

    /**
     * Creates the exchange of a request; {@link #begin} starts it.
     *
     * @param headBytes what is reserved for the head, which the exchange releases
     * @param rulesAtArrival the admission rules that were in force when the request's head arrived
     * @param body the whole body, which the exchange releases; empty if there is a relay
     * @param requestRelay the relay of a body that is still arriving, or null
     * @param completionUs gives the earliest time at which the client may have written the whole request, which never goes back
     */
    ClientExchange(Frontend frontend, ClientConnection connection, HttpRequest head, int headBytes,
            Frontend.AdmissionRules rulesAtArrival, ByteBuf body, BodyRelay requestRelay, LongSupplier completionUs) {
        this.frontend = frontend;
        this.connection = connection;
        this.head = head;
        this.headBytes = headBytes;
        this.rulesAtArrival = rulesAtArrival;
        this.body = body;
        this.requestRelay = requestRelay;
        this.requestComplete = requestRelay == null;
        this.completionUs = completionUs;
    }

    /** Hands the request to the proxy, or responds at once if it is a readiness check or is rejected. */
    void begin() {
        BalancerDriver.IncomingRequest incoming;
        try {
            String target = RequestHeadValidator.originForm(head.uri());
            var uri = new QueryStringDecoder(target);
            if (uri.rawPath().equals("/ready")) {
                sendResponse(frontend.isReady() ? Frontend.textResponse(HttpResponseStatus.OK, "ready")
                        : Frontend.textResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready"));
                return;
            }
            incoming = toIncomingRequest(target, uri);
        } catch (RejectedRequestException e) {
            reject(Frontend.textResponse(e.status, e.getMessage()));
            return;
        } catch (IllegalArgumentException e) {
            reject(Frontend.textResponse(HttpResponseStatus.BAD_REQUEST, "not a path that can be read"));
            return;
        }
        id = incoming.id();
        connection.requestAccepted();
        frontend.balancerDriver.requestArrived(incoming, this);
    }

    /** Answers a request that is not sent to a server; closes the connection if too many of them have come in a row. */
    private void reject(FullHttpResponse response) {
        mustClose = !connection.mayRejectAgain();
        sendResponse(response);
    }

    /** Relays the next piece of a long request body; the relay releases it. */
    void relayRequestBody(ByteBuf bytes) {
        requestRelay.add(bytes);
    }

    /**
     * Notes that a long request body is complete.
     *
     * @param completedAtUs the earliest time at which its last byte may have been written, from which the request's deadline counts
     */
    void requestCompleted(HttpHeaders trailers, long completedAtUs) {
        requestComplete = true;
        completionUs = () -> completedAtUs;
        requestRelay.complete(trailers);
    }

    @Override
    public long deadlineUs() {
        return Math.min(frontend.latestDeadlineUs(),
                completionUs.getAsLong() + timeoutUs - Math.min(RESPONSE_MARGIN_US, timeoutUs / 10));
    }

    /** Validates the request against the admission rules and returns it in the form that the proxy takes. */
    private BalancerDriver.IncomingRequest toIncomingRequest(String target, QueryStringDecoder uri) throws RejectedRequestException {
        if (!uri.rawPath().equals("/api") && !uri.rawPath().startsWith("/api/")) {
            throw new RejectedRequestException(HttpResponseStatus.NOT_FOUND, "no such path");
        }
        HttpHeaders headers = head.headers();
        String requestClass = requiredHeader(headers, Headers.REQUEST_CLASS);
        // The current rules apply, unless the class was removed from them after the request's head arrived: then the earlier rules do.
        Frontend.AdmissionRules rules = frontend.admissionRules().effects().containsKey(requestClass) ? frontend.admissionRules()
                : rulesAtArrival;
        Balancer.Effect effect = rules.effects().get(requestClass);
        if (effect == null) {
            throw new RejectedRequestException(HttpResponseStatus.BAD_REQUEST, "unknown " + Headers.REQUEST_CLASS);
        }
        HttpMethod expectedMethod = effect == Balancer.Effect.SAFE ? HttpMethod.GET : HttpMethod.POST;
        if (!head.method().equals(expectedMethod)) {
            throw new RejectedRequestException(HttpResponseStatus.METHOD_NOT_ALLOWED, "this class is asked for with " + expectedMethod);
        }
        if (effect == Balancer.Effect.KEYED) {
            requiredHeader(headers, Headers.IDEMPOTENCY_KEY);
        }
        String tenant = null;
        if (!rules.tenants().isEmpty()) {
            tenant = requiredHeader(headers, Headers.TENANT);
            if (!rules.tenants().contains(tenant)) {
                throw new RejectedRequestException(HttpResponseStatus.BAD_REQUEST, "unknown " + Headers.TENANT);
            }
        }
        String requestId = requiredHeader(headers, Headers.REQUEST_ID);
        List<String> keys = uri.parameters().get("k");
        timeoutUs = timeoutUs(requiredHeader(headers, Headers.TIMEOUT));
        boolean mayRunAgain = effect == Balancer.Effect.SAFE;
        if (!frontend.balancerDriver.claimId(requestId, mayRunAgain)) {
            throw new RejectedRequestException(HttpResponseStatus.CONFLICT, "a request with this id is being served or may have run");
        }
        return new BalancerDriver.IncomingRequest(requestId, requestClass, tenant, keys == null ? null : keys.get(0),
                mayRunAgain, "1".equals(headers.get(Headers.RETRIED)), costUs(headers.get(Headers.COST)), rules.limits(),
                new ServerConnections.OutgoingRequest(head.method(), target, headers, body, requestRelay));
    }

    private static String requiredHeader(HttpHeaders headers, String name) throws RejectedRequestException {
        String value = headers.get(name);
        if (value == null || value.isEmpty()) {
            throw new RejectedRequestException(HttpResponseStatus.BAD_REQUEST, "missing " + name);
        }
        return value;
    }

    /** Returns the client's estimate of the request's cost in microseconds; 0 if it is absent or malformed, because it is optional. */
    private static long costUs(String text) {
        return text != null && COST.matcher(text).matches() ? Long.parseLong(text) : 0;
    }

    private static long timeoutUs(String text) throws RejectedRequestException {
        Matcher matcher = TIMEOUT.matcher(text);
        if (!matcher.matches() || Long.parseLong(matcher.group(1)) == 0) {
            throw new RejectedRequestException(HttpResponseStatus.BAD_REQUEST, "bad " + Headers.TIMEOUT);
        }
        return Long.parseLong(matcher.group(1)) * (matcher.group(2).equals("m") ? 1_000 : 1);
    }

    @Override
    public void respond(ServerConnections.BufferedResponse serverResponse) {
        var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, serverResponse.body());
        Headers.copyEndToEnd(serverResponse.headers(), response.headers());
        HttpUtil.setContentLength(response, serverResponse.body().readableBytes());
        int reservedBytes = serverResponse.body().capacity();
        // The body counts until it is written, because a client that does not read would otherwise hold any number of them.
        sendResponse(response).addListener(written -> serverResponse.memoryBudget().release(reservedBytes));
    }

    @Override
    public void refuse(long retryAfterUs) {
        FullHttpResponse response = Frontend.textResponse(HttpResponseStatus.SERVICE_UNAVAILABLE,
                "not now; trying again is harmless");
        if (retryAfterUs > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterUs / 1e6));
        }
        sendResponse(response);
    }

    @Override
    public void fail() {
        sendResponse(Frontend.textResponse(HttpResponseStatus.BAD_GATEWAY, "failed; it may have taken effect"));
    }

    /** Sends the response; returns a future that is done once it is written or dropped. */
    private Future<?> sendResponse(FullHttpResponse response) {
        if (!connection.isCurrent(this)) {
            response.release();
            return connection.channel().newSucceededFuture();
        }
        release();
        if (!requestComplete) {
            connection.closeWithEarlyResponse(response);
            return connection.channel().newSucceededFuture();
        }
        keepAlive = keepsConnectionAlive();
        HttpUtil.setKeepAlive(response, keepAlive);
        if (head.method().equals(HttpMethod.HEAD)) {
            response.content().clear();
        }
        ChannelFuture written = connection.channel().writeAndFlush(response);
        connection.exchangeFinished(keepAlive);
        return written;
    }

    private boolean keepsConnectionAlive() {
        return HttpUtil.isKeepAlive(head) && !(frontend.closesAfterResponses() && connection.isLastExchange())
                && !(mustClose && connection.hasNoneQueued());
    }

    @Override
    public void respondStreaming(ServerConnections.StreamedResponse serverResponse) {
        if (!connection.isCurrent(this) || !requestComplete) {
            // A response cannot be relayed while its request is still being received.
            serverResponse.body().cancel();
            fail();
            return;
        }
        release();
        keepAlive = keepsConnectionAlive();
        var response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        Headers.copyEndToEnd(serverResponse.headers(), response.headers());
        if (serverResponse.length() >= 0) {
            HttpUtil.setContentLength(response, serverResponse.length());
        } else if (head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            keepAlive = false;
        } else {
            HttpUtil.setTransferEncodingChunked(response, true);
        }
        HttpUtil.setKeepAlive(response, keepAlive);
        connection.channel().write(response);
        responseRelay = serverResponse.body();
        responseRelay.relayTo(this);
    }

    /** Returns whether a long response is being relayed to the client. */
    boolean isStreamingResponse() {
        return responseRelay != null;
    }

    /** Relays more of a long response if there is one; called when the client's connection can be written to again. */
    void transferResponse() {
        if (responseRelay != null) {
            responseRelay.transfer();
        }
    }

    @Override
    public Channel channel() {
        return connection.channel();
    }

    @Override
    public void bodyCompleted(HttpHeaders trailers) {
        responseRelay = null;
        connection.channel().writeAndFlush(Headers.lastContent(trailers));
        connection.exchangeFinished(keepAlive);
    }

    /**
     * Resets the client's connection. An HTTP/1.0 client would take a response of unknown length for complete if its connection just
     * closed.
     */
    @Override
    public void bodyAborted() {
        responseRelay = null;
        try {
            connection.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        } finally {
            connection.channel().close();
        }
    }

    private void release() {
        if (released) {
            return;
        }
        released = true;
        frontend.memoryBudget.release(headBytes);
        if (requestRelay == null) {
            frontend.memoryBudget.release(body.capacity());
            body.release();
        } else {
            requestRelay.abort();
        }
    }

    @Override
    public boolean isClientConnected() {
        return connection.isCurrent(this) && connection.channel().isActive();
    }

    @Override
    public boolean mayHaveUnreadClose() {
        return connection.unreadInput().mayHoldClose();
    }

    @Override
    public boolean readAhead() {
        if (requestRelay != null && !requestComplete) {
            requestRelay.readAhead();
        }
        return connection.unreadInput().hidesClose();
    }

    /**
     * Fails the exchange, because the process is about to end; does nothing if its response has started. A request that has not been read
     * to its end is failed as well, because its client may have written it whole.
     */
    void failNow() {
        if (responseRelay == null) {
            fail();
            if (id != null) {
                frontend.balancerDriver.clientDisconnected(id);
            }
        }
    }

    /** Returns whether the client may send further requests behind this one. */
    boolean allowsKeepAlive() {
        return HttpUtil.isKeepAlive(head);
    }

    /** Returns the memory that the request takes. */
    int sizeBytes() {
        return headBytes + body.capacity();
    }

    /** Returns the memory that is held for a body that is relayed. */
    int heldBodyBytes() {
        return requestRelay.heldBytes();
    }

    /** Abandons the exchange, because its client has gone or will send no more of the request. */
    void clientGone() {
        if (responseRelay != null) {
            responseRelay.cancel();
        } else if (id != null) {
            frontend.balancerDriver.clientDisconnected(id);
        }
        release();
    }
}

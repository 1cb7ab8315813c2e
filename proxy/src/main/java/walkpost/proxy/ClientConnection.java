package walkpost.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * A client's connection: receives its requests, runs one {@link ClientExchange} at a time and queues pipelined requests behind it. Used on
 * the event loop only.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements MemoryBudget.Unfinished {
    private static final long IDLE_TIMEOUT_S = 60;
    /** A request head must be complete within this time. A client that is too slow must get an error or a close within 3 s. */
    private static final long RECEIVE_TIMEOUT_MS = 2_500;
    /** What an open connection takes: its channel, its handlers and their timers. */
    private static final int CONNECTION_BYTES = 6 * 1024;
    /**
     * A connection is closed after so many rejected requests in a row. Whoever floods the proxy with them has to connect again each time,
     * and waits for its turn to be accepted.
     */
    static final int MAX_REJECTIONS = 16;
    /**
     * The most refused requests that wait for their response; the next one is the last on its connection, because reading on behind a flood
     * would hold up other clients.
     */
    static final int MAX_REFUSALS = 128;
    /** A client that has sent nothing for this long after it was accepted may be disconnected if connections run out. */
    private static final long SILENT_MS = 500;

    private final Frontend frontend;
    private final LingeringClose closing;
    private final PipelinedRequests pipelined;
    private final RequestDecoder decoder = new RequestDecoder();
    private final UnreadInput unreadInput;
    private Channel channel;
    private ClientExchange exchange;
    private RequestReceiver receiver;
    /** Whether a request was complete, or a long body started to be relayed, at least once on this connection. */
    private boolean hadRequest;
    private BodyPace bodyPace;
    /** The requests rejected since the last one that was accepted. */
    private int rejections;
    /** Whether queued exchanges are being started, one after the other. */
    private boolean startingQueued;
    private boolean writingRefusals;
    /** What is reserved for the head that is not complete. */
    private int reservedHeadBytes;
    private long lastReadAtUs;
    /** The last response on this connection; it is sent once the exchanges before it are finished. */
    private FullHttpResponse finalResponse;
    private Future<?> receiveTimer;

    /**
     * Creates the handler of an accepted connection.
     *
     * @param mayHaveWaited whether the client may have waited in the listener's accept queue
     */
    ClientConnection(Frontend frontend, LingeringClose closing, boolean mayHaveWaited) {
        this.frontend = frontend;
        this.closing = closing;
        this.pipelined = new PipelinedRequests(frontend.memoryBudget);
        this.unreadInput = new UnreadInput(frontend.lagMonitor(), mayHaveWaited);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        frontend.connectionOpened(this);
        frontend.memoryBudget.reserve(CONNECTION_BYTES);
        startHeadTimer();
        channel.pipeline().addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_S, TimeUnit.SECONDS), decoder,
                new HttpResponseEncoder(), new RequestHandler());
    }

    /**
     * Records when the bytes may have arrived and passes them to the decoder. A request's deadline counts from the sending of its last
     * byte; the earliest moment at which that byte may have arrived is the closest bound that the proxy has.
     */
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        lastReadAtUs = unreadInput.onRead((ByteBuf) message);
        if (finalResponse != null || closing.isStarted()) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (!isReceivingRequest()) {
            startHeadTimer();
            frontend.connectionBudget.setClientIdle(closing, false);
        }
        super.channelRead(ctx, message);
        accountUnfinished();
        if (closing.isStarted()) {
            cancelReceiveTimer();
        } else if (isReceivingRequest()) {
            startHeadTimer();
        } else {
            if (hadRequest) {
                cancelReceiveTimer();
            }
            markIdleOrClose();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        unreadInput.onReadComplete();
        super.channelReadComplete(ctx);
    }

    /** Reserves the memory of a head that is not complete, and notes whether there is a request that can be given up. */
    private void accountUnfinished() {
        int headBytes = closing.isStarted() ? 0 : decoder.heldBytes();
        if (headBytes != reservedHeadBytes) {
            frontend.memoryBudget.reserve(headBytes - reservedHeadBytes);
            reservedHeadBytes = headBytes;
        }
        frontend.memoryBudget.setUnfinished(this, finalResponse == null && !closing.isStarted() && isReceivingRequest());
    }

    @Override
    public int heldBytes() {
        return reservedHeadBytes + (receiver == null ? 0 : receiver.heldBytes());
    }

    @Override
    public void giveUp() {
        frontend.log.warn("request_given_up", "request", receiver == null ? null : receiver.requestId(), "held_bytes", heldBytes(), "client",
                channel.remoteAddress());
        abandonIncompleteRequest();
        closeWith(Frontend.textResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, "no memory for an incomplete request"));
    }

    @Override
    public void closeNow() {
        closing.closeNow();
    }

    /** Returns whether bytes of a request have arrived that is not complete yet. */
    private boolean isReceivingRequest() {
        return receiver != null || decoder.isInsideHead();
    }

    /**
     * Marks the connection as idle if it carries no request, so that it may be closed to make room; closes it at once if each response is
     * to be the last on its connection.
     */
    private void markIdleOrClose() {
        if (owesResponse() || finalResponse != null || isReceivingRequest() || closing.isStarted()) {
            return;
        }
        if (frontend.closesAfterResponses()) {
            closing.start();
        } else if (hadRequest) {
            // A new connection is not marked idle here: its first request may be waiting unread and is still to be served.
            frontend.connectionBudget.setClientIdle(closing, true);
        }
    }

    /**
     * Starts the timer for a request head if it is not running. Further bytes do not restart it, because a client that sends a byte now and
     * then would otherwise keep an incomplete request and its socket for ever.
     */
    private void startHeadTimer() {
        if (receiveTimer == null) {
            receiveTimer = channel.eventLoop().schedule(this::silenceElapsed, SILENT_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void startBodyTimer() {
        cancelReceiveTimer();
        bodyPace = new BodyPace(frontend.lagMonitor().nowUs());
        scheduleBodyCheck();
    }

    private void scheduleBodyCheck() {
        long delayUs = bodyPace.nextCheckUs() - frontend.lagMonitor().nowUs();
        receiveTimer = channel.eventLoop().schedule(this::checkBodyPace, delayUs, TimeUnit.MICROSECONDS);
    }

    private void cancelReceiveTimer() {
        if (receiveTimer != null) {
            receiveTimer.cancel(false);
            receiveTimer = null;
        }
    }

    private void silenceElapsed() {
        if (!hadRequest && !isReceivingRequest()) {
            frontend.connectionBudget.setClientIdle(closing, true);
        }
        receiveTimer = channel.eventLoop().schedule(this::headTimedOut, RECEIVE_TIMEOUT_MS - SILENT_MS, TimeUnit.MILLISECONDS);
    }

    private void headTimedOut() {
        receiveTimer = null;
        if (isReceivingRequest()) {
            closeWith(requestTimeout());
        } else if (!owesResponse()) {
            closing.start();
        }
    }

    /**
     * Abandons a request whose body arrives too slowly or has stopped. A body is not late while the proxy itself has paused reading, or
     * while the client waits for {@code 100 Continue}.
     */
    private void checkBodyPace() {
        boolean paused = !channel.config().isAutoRead();
        long nowUs = frontend.lagMonitor().nowUs();
        if (paused && bodyPace.isSilent()) {
            frontend.log.warn("body_blocked", "request", receiver.requestId(), "received_bytes", receiver.receivedBytes(),
                    "blocked_ms", (nowUs - lastReadAtUs) / 1_000);
        }
        if (paused || receiver.awaitsContinue()) {
            startBodyTimer();
        } else if (bodyPace.isKept(nowUs)) {
            scheduleBodyCheck();
        } else {
            abandonIncompleteRequest();
            closeWith(requestTimeout());
        }
    }

    private FullHttpResponse requestTimeout() {
        return Frontend.textResponse(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not end in time");
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        frontend.connectionClosed(this);
        frontend.memoryBudget.setUnfinished(this, false);
        frontend.memoryBudget.release(CONNECTION_BYTES + reservedHeadBytes);
        cancelReceiveTimer();
        abandonIncompleteRequest();
        pipelined.abandonAll();
        if (exchange != null) {
            ClientExchange abandoned = exchange;
            exchange = null;
            abandoned.clientGone();
        }
        super.channelInactive(ctx);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) throws Exception {
        if (exchange != null) {
            exchange.transferResponse();
        } else {
            sendRefusals();
        }
        super.channelWritabilityChanged(ctx);
    }

    /** Handles one part of a request as the decoder delivers it: a head, a piece of a body, or a decoding failure. */
    void messageDecoded(HttpObject message) {
        if (finalResponse != null || closing.isStarted()) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            abandonIncompleteRequest();
            closeWith(unreadable(message.decoderResult().cause()));
            return;
        }
        if (message instanceof HttpRequest head) {
            decoder.headCompleted();
            startReceiving(head);
        }
        if (message instanceof HttpContent content && receiver != null) {
            receiver.add(content);
        }
    }

    private static FullHttpResponse unreadable(Throwable cause) {
        return cause instanceof TooLongHttpHeaderException
                ? Frontend.textResponse(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "too many header fields, or too long ones")
                : Frontend.textResponse(HttpResponseStatus.BAD_REQUEST, "not a request that can be read");
    }

    private void startReceiving(HttpRequest head) {
        try {
            RequestHeadValidator.check(head);
            receiver = new RequestReceiver(frontend, this, head);
            startBodyTimer();
            if (!owesResponse()) {
                receiver.sendContinue();
            }
        } catch (RequestHeadValidator.UnacceptableRequestException e) {
            closeWith(Frontend.textResponse(e.status(), e.getMessage()));
        }
    }

    /**
     * Abandons the request that is being received, because the rest of it will not arrive. If its exchange has started already, that
     * exchange ends as if the client had gone.
     */
    private void abandonIncompleteRequest() {
        if (receiver == null) {
            return;
        }
        RequestReceiver abandoned = receiver;
        receiver = null;
        cancelReceiveTimer();
        if (abandoned.startedExchange() == null) {
            abandoned.release();
        } else if (abandoned.startedExchange() == exchange) {
            exchange = null;
            abandoned.startedExchange().clientGone();
        } else if (pipelined.remove(abandoned.startedExchange())) {
            abandoned.startedExchange().clientGone();
        }
    }

    /** Notes that the request that is being received is complete. */
    void requestCompleted() {
        receiver = null;
        cancelReceiveTimer();
    }

    /** Starts an exchange, or queues it behind the current one; if there is no room for it, it is refused when its turn comes. */
    void startOrQueue(ClientExchange next) {
        hadRequest = true;
        if (!owesResponse()) {
            start(next);
        } else if (!pipelined.offer(next)) {
            refuse(next);
        }
    }

    private void start(ClientExchange next) {
        exchange = next;
        next.begin();
    }

    /** Refuses a request without keeping it. If it has not been received to its end, its rest is dropped before. */
    private void refuse(ClientExchange next) {
        next.clientGone();
        if (receiver != null) {
            receiver.discard();
        } else {
            refusedRequestCompleted(next.allowsKeepAlive());
        }
    }

    /**
     * Notes that a refused request has been received to its end; it is answered once those before it are.
     *
     * @param keepAlive whether its client may send further requests behind it
     */
    void refusedRequestCompleted(boolean keepAlive) {
        hadRequest = true;
        if (keepAlive && pipelined.refusedCount() < MAX_REFUSALS) {
            pipelined.addRefused();
            sendRefusals();
        } else {
            closeWith(Frontend.textResponse(HttpResponseStatus.TOO_MANY_REQUESTS, "too much at once"));
        }
    }

    /** Returns a response without a body, which fits a request of any method. */
    private static FullHttpResponse refusal() {
        var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.TOO_MANY_REQUESTS, Unpooled.EMPTY_BUFFER);
        HttpUtil.setContentLength(response, 0);
        return response;
    }

    /** Returns whether a response is owed to a request that has been read whole, or that is being relayed. */
    private boolean owesResponse() {
        return exchange != null || !pipelined.isEmpty();
    }

    /**
     * Pauses or resumes reading for a body that is being relayed. Nothing else pauses reading, however many requests are queued, because
     * the client's close may be behind the bytes that are still unread.
     */
    void setReadPaused(boolean paused) {
        if (closing.isStarted() || finalResponse != null) {
            return;
        }
        channel.config().setAutoRead(!paused);
        if (paused) {
            unreadInput.onPaused();
        } else {
            if (bodyPace != null) {
                bodyPace.restart(frontend.lagMonitor().nowUs());
            }
            unreadInput.onResumed();
        }
    }

    /** Ends the current exchange and starts the next queued one, or closes the connection if it is not kept alive. */
    void exchangeFinished(boolean keepAlive) {
        exchange = null;
        if (!keepAlive) {
            // Drops what the client has sent after the request that it marked as its last, or after the response that announced the close.
            abandonIncompleteRequest();
            pipelined.abandonAll();
            closing.start();
        } else if (!startingQueued) {
            startQueued();
        }
    }

    /** Starts queued exchanges until one of them is not finished at once. A loop, because so many may be queued that recursion would fail. */
    private void startQueued() {
        startingQueued = true;
        try {
            for (ClientExchange next = pipelined.poll(); next != null; next = exchange == null ? pipelined.poll() : null) {
                start(next);
            }
        } finally {
            startingQueued = false;
        }
        if (exchange == null && !closing.isStarted()) {
            queueEmptied();
        }
    }

    private void queueEmptied() {
        if (pipelined.refusedCount() > 0) {
            sendRefusals();
        } else if (finalResponse != null) {
            sendFinalResponse();
        } else if (receiver != null) {
            receiver.sendContinue();
        } else {
            markIdleOrClose();
        }
    }

    /** Answers the refused requests, as far as the client takes the responses. */
    private void sendRefusals() {
        if (writingRefusals || exchange != null || pipelined.refusedCount() == 0 || closing.isStarted() || !channel.isActive()) {
            return;
        }
        writingRefusals = true;
        while (pipelined.refusedCount() > 0 && channel.isWritable()) {
            pipelined.refusalSent();
            channel.write(refusal());
        }
        channel.flush();
        writingRefusals = false;
        if (pipelined.refusedCount() == 0) {
            queueEmptied();
        } else if (channel.isWritable()) {
            channel.eventLoop().execute(this::sendRefusals);
        }
    }

    /** Notes that a request has been accepted, so that its connection is in use for what it is there for. */
    void requestAccepted() {
        rejections = 0;
    }

    /** Notes a rejected request; returns whether another one may be rejected on this connection. */
    boolean mayRejectAgain() {
        rejections++;
        return rejections < MAX_REJECTIONS;
    }

    /** Fails the current exchange if it has no response yet, because the process is about to end. */
    void failPendingExchange() {
        if (exchange != null) {
            exchange.failNow();
        }
    }

    /** Returns whether no other request is queued, incomplete or to be rejected behind the current exchange. */
    boolean isLastExchange() {
        return pipelined.isEmpty() && finalResponse == null && !isReceivingRequest();
    }

    /** Returns whether no response is owed behind the one to the current exchange; what is unread of further requests may be dropped. */
    boolean hasNoneQueued() {
        return pipelined.isEmpty() && finalResponse == null;
    }

    void closeIfIdle() {
        if (!owesResponse() && finalResponse == null && !isReceivingRequest()) {
            closing.start();
        }
    }

    /**
     * Sends a last response, once the exchanges before it are finished, and closes the connection; input that follows is not read as
     * requests. Used where the input is not a valid request.
     */
    void closeWith(FullHttpResponse response) {
        if (finalResponse != null || closing.isStarted()) {
            response.release();
            return;
        }
        finalResponse = response;
        channel.config().setAutoRead(true);
        if (!owesResponse()) {
            sendFinalResponse();
        }
    }

    /** Ends the current exchange with a response before its request is complete; the rest of that request belongs to no exchange. */
    void closeWithEarlyResponse(FullHttpResponse response) {
        exchange = null;
        receiver = null;
        cancelReceiveTimer();
        pipelined.abandonAll();
        closeWith(response);
    }

    private void sendFinalResponse() {
        HttpUtil.setKeepAlive(finalResponse, false);
        channel.write(finalResponse);
        closing.start();
    }

    Channel channel() {
        return channel;
    }

    /** Returns the earliest time at which the bytes of the latest read may have arrived, in microseconds on the proxy's clock. */
    long lastReadAtUs() {
        return lastReadAtUs;
    }

    /** Returns the bound of what the client may have sent that has not been read. */
    UnreadInput unreadInput() {
        return unreadInput;
    }

    /** Returns whether an exchange is the current one, whose response is the next on this connection. */
    boolean isCurrent(ClientExchange candidate) {
        return exchange == candidate;
    }

    /** Returns whether a receiver is the one that takes this connection's input now. */
    boolean isReceiving(RequestReceiver candidate) {
        return receiver == candidate;
    }

    void bodyBytesReceived(int bytes) {
        bodyPace.onRead(frontend.lagMonitor().nowUs(), bytes);
    }

    /** The last inbound handler: passes decoded messages on, and closes the connection when it is idle or fails. */
    private final class RequestHandler extends SimpleChannelInboundHandler<HttpObject> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            messageDecoded(message);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
            // A client that has read nothing of its response for the idle timeout counts as gone.
            if (event instanceof IdleStateEvent && (exchange != null ? exchange.isStreamingResponse() : closing.isStarted())) {
                ctx.close();
            } else if (event instanceof IdleStateEvent && exchange == null) {
                closing.start();
            }
            super.userEventTriggered(ctx, event);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                frontend.log.error("connection_failed", cause);
            }
            ctx.close();
        }
    }
}

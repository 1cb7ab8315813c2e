package walkpost.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Receives one request from a client. A short body is collected before the exchange starts; for a long one the exchange starts at once and
 * the body is relayed as it arrives. Used on the event loop only.
 */
final class RequestReceiver implements BodyRelay.Source {
    private final Frontend frontend;
    private final ClientConnection connection;
    private final HttpRequest head;
    private final Frontend.AdmissionRules rulesAtArrival;
    private final int headBytes;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    /** Whether the client waits for {@code 100 Continue} before it sends the body. */
    private boolean awaitsContinue;
    private ClientExchange startedExchange;
    /** Bounds when the client has written the body; set together with {@link #startedExchange}. */
    private BodyArrival bodyArrival;
    /** Whether the request is refused already; the rest of it is read and dropped, because other requests may follow it. */
    private boolean discarding;

    RequestReceiver(Frontend frontend, ClientConnection connection, HttpRequest head) {
        this.frontend = frontend;
        this.connection = connection;
        this.head = head;
        this.rulesAtArrival = frontend.admissionRules();
        this.awaitsContinue = HttpUtil.is100ContinueExpected(head);
        this.headBytes = HeadSize.of(head);
        frontend.memoryBudget.reserve(headBytes);
    }

    /**
     * Sends {@code 100 Continue} if the client waits for it. Must not be called while an earlier request is being answered, because the
     * client would read it as a part of that response.
     */
    void sendContinue() {
        if (awaitsContinue) {
            awaitsContinue = false;
            connection.channel().writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    /** Takes the next piece of the body; starts the exchange if the request is complete or its body is too long to be collected. */
    void add(HttpContent content) {
        ByteBuf bytes = content.content();
        connection.bodyBytesReceived(bytes.readableBytes());
        awaitsContinue &= !bytes.isReadable();
        if (discarding) {
            completeDiscarded(content);
            return;
        }
        if (startedExchange == null && bytes.isReadable()
                && (body.readableBytes() + bytes.readableBytes() > ServerConnections.MAX_BUFFERED_BODY_BYTES
                        || frontend.memoryBudget.isExhausted())) {
            startRelaying();
        }
        if (discarding) {
            completeDiscarded(content);
            return;
        }
        if (startedExchange != null) {
            bodyArrival.onRead(bytes.readableBytes());
            startedExchange.relayRequestBody(bytes.retain());
        } else {
            body = Headers.appendBody(body, bytes, connection.channel().alloc(), frontend.memoryBudget);
        }
        if (content instanceof LastHttpContent last && connection.isReceiving(this)) {
            connection.requestCompleted();
            if (startedExchange == null) {
                connection.startOrQueue(ClientExchange.ofReceived(frontend, connection, head, headBytes, rulesAtArrival, body));
            } else {
                startedExchange.requestCompleted(last.trailingHeaders(), bodyArrival.earliestCompletionUs(connection.lastReadAtUs()));
            }
        }
    }

    private void completeDiscarded(HttpContent content) {
        if (content instanceof LastHttpContent && connection.isReceiving(this)) {
            connection.requestCompleted();
            connection.refusedRequestCompleted(HttpUtil.isKeepAlive(head));
        }
    }

    /** Reads and drops the rest of a request whose exchange was refused; it is answered once it has been received. */
    void discard() {
        startedExchange = null;
        discarding = true;
    }

    /** Starts the exchange, with the bytes collected so far as the start of the body. */
    private void startRelaying() {
        connection.unreadInput().trackBacklog();
        bodyArrival = new BodyArrival(HttpUtil.getContentLength(head, -1L), frontend.lagMonitor()::nowUs);
        bodyArrival.onRead(body.readableBytes());
        var relay = new BodyRelay(body, this, frontend.memoryBudget);
        body = Unpooled.EMPTY_BUFFER;
        startedExchange = new ClientExchange(frontend, connection, head, headBytes, rulesAtArrival, body, relay, this::earliestCompletionUs);
        connection.startOrQueue(startedExchange);
    }

    /** Returns the request's id, or null if the client has given none. */
    String requestId() {
        return head.headers().get(Headers.REQUEST_ID);
    }

    /** Returns the number of bytes of a relayed body that have been read. */
    long receivedBytes() {
        return bodyArrival.receivedBytes();
    }

    /** Returns the earliest time at which the client may have written the last byte of the request that is still being received. */
    private long earliestCompletionUs() {
        return bodyArrival.earliestCompletionUs(connection.unreadInput().earliestArrivalUs());
    }

    boolean awaitsContinue() {
        return awaitsContinue;
    }

    /** Returns the exchange that was started before the request was complete, or null if there is none. */
    ClientExchange startedExchange() {
        return startedExchange;
    }

    /** Returns the memory that is held for this request. */
    int heldBytes() {
        if (discarding) {
            return 0;
        }
        return headBytes + (startedExchange == null ? body.capacity() : startedExchange.heldBodyBytes());
    }

    /** Releases what is held for a request whose exchange has not started. */
    void release() {
        if (discarding) {
            return;
        }
        frontend.memoryBudget.release(headBytes + body.capacity());
        body.release();
    }

    @Override
    public void setReading(boolean on) {
        connection.setReadPaused(!on);
    }

    @Override
    public void relayCancelled() {
        // Further bytes are dropped; the client learns the reason from the response to the exchange.
    }
}

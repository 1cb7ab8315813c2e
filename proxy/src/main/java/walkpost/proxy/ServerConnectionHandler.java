package walkpost.proxy;

import walkpost.Balancer.Outcome;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;

/**
 * Handles the inbound side of one connection to a server. The connection is either idle, with no attempt, or carries exactly one
 * attempt, whose response is awaited, buffered, or relayed to the client. The end of the response ends the attempt. All methods run on
 * the event loop.
 */
final class ServerConnectionHandler extends SimpleChannelInboundHandler<HttpObject> implements BodyRelay.Source {
    private final ServerConnections.Endpoint endpoint;
    private final MemoryBudget memoryBudget;
    private final ServerResponseDecoder decoder = new ServerResponseDecoder(this::isResponseExpected);
    private Channel channel;
    private Attempt attempt;
    /** The head of the current response; null until it has been read. */
    private HttpResponse responseHead;
    /** The part of the body read so far, if the body is buffered and not relayed. */
    private ByteBuf bufferedBody = Unpooled.EMPTY_BUFFER;
    /** Passes a long body on while it is read; null if the body is buffered. */
    private BodyRelay relay;
    private HttpHeaders trailers;
    /** True if bytes of the response arrived before the request was written completely. */
    private boolean arrivedBeforeRequestWasSent;
    /** True from the head of an interim (1xx) response to its end. */
    private boolean inInterimResponse;
    /** Whether the part of the response that was read last is valid HTTP/1. */
    private boolean latestPartValid;
    /** True if the rest of the response is not needed; the response is delivered when the read in progress is complete. */
    private boolean responseDone;
    /** Whether an exception was caught, after which nothing read from this connection counts. */
    private boolean connectionFailed;

    ServerConnectionHandler(ServerConnections.Endpoint endpoint, MemoryBudget memoryBudget) {
        this.endpoint = endpoint;
        this.memoryBudget = memoryBudget;
    }

    ServerResponseDecoder decoder() {
        return decoder;
    }

    /** Assigns the attempt that the next response on this connection belongs to. */
    void assign(Attempt next) {
        attempt = next;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    private boolean isResponseExpected() {
        arrivedBeforeRequestWasSent |= attempt != null && !attempt.mayHaveRun();
        return attempt != null;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (connectionFailed) {
            return;
        }
        if (message instanceof HttpResponse response) {
            if (attempt == null || responseDone) {
                // A response without a request: nothing that follows on this connection can be matched to a request.
                channel.close();
            } else if (!updateInterim(response)) {
                onHead(response);
            }
        }
        if (message instanceof HttpContent content) {
            onContent(content);
        }
    }

    private boolean updateInterim(HttpResponse response) {
        inInterimResponse = response.status().codeClass() == HttpStatusClass.INFORMATIONAL && isSupported(response);
        return inInterimResponse;
    }

    private void onHead(HttpResponse response) {
        responseHead = response;
        attempt.responsePartRead(0);
        latestPartValid = isSupported(response);
        if (attempt.mayHaveRun() ? arrivedBeforeRequestWasSent : outcome() != Outcome.FULL) {
            // A server answers an incomplete request only to reject it, so this response does not belong to the request.
            responseHead = null;
            attempt.abort(attempt.mayHaveRun() ? Outcome.ERROR : Outcome.CONNECT_FAILED);
            return;
        }
        if (!latestPartValid) {
            responseDone = true;
        } else if (HttpUtil.getContentLength(response, 0L) > ServerConnections.MAX_BUFFERED_BODY_BYTES) {
            startRelay();
        }
    }

    /** Starts to relay a response whose body is too long to be buffered. */
    private void startRelay() {
        if (outcome() != Outcome.OK) {
            // Only the status of such a response is used.
            responseDone = true;
            return;
        }
        relay = new BodyRelay(bufferedBody, this, memoryBudget);
        bufferedBody = Unpooled.EMPTY_BUFFER;
        attempt.beginStreamedResponse(
                new ServerConnections.StreamedResponse(responseHead.headers(), HttpUtil.getContentLength(responseHead, -1L), relay));
    }

    /**
     * Starts to relay a response whose length is unknown and that is not complete yet, because its time is over.
     *
     * @return whether there is such a response; if not, nothing has changed
     */
    boolean relayUnfinishedResponse() {
        boolean unfinished = attempt != null && responseHead != null && relay == null && !responseDone && latestPartValid;
        if (!unfinished || outcome() != Outcome.OK || HttpUtil.getContentLength(responseHead, -1L) >= 0) {
            return false;
        }
        startRelay();
        return true;
    }

    private void onContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (inInterimResponse || responseHead == null || responseDone) {
            arrivedBeforeRequestWasSent &= !inInterimResponse;
            inInterimResponse &= !last;
            return;
        }
        latestPartValid = content.decoderResult().isSuccess();
        int bytes = content.content().readableBytes();
        attempt.responsePartRead(bytes);
        if (latestPartValid && relay == null && bytes > 0
                && (bufferedBody.readableBytes() + bytes > ServerConnections.MAX_BUFFERED_BODY_BYTES || memoryBudget.isExhausted())) {
            startRelay();
        }
        if (latestPartValid && relay != null) {
            relay.add(content.content().retain());
        } else if (latestPartValid && !responseDone) {
            bufferedBody = Headers.appendBody(bufferedBody, content.content(), channel.alloc(), memoryBudget);
        }
        if (last && latestPartValid) {
            trailers = ((LastHttpContent) content).trailingHeaders();
        }
        responseDone |= last || !latestPartValid;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        deliverResponse();
        super.channelReadComplete(ctx);
    }

    /**
     * Delivers the response once everything that arrived with it has been read: the next attempt may use this same connection and would
     * otherwise be given bytes that the server sent after this response.
     */
    private void deliverResponse() {
        if (!responseDone || attempt == null) {
            return;
        }
        Attempt finishedAttempt = attempt;
        Outcome outcome = outcome();
        HttpHeaders headers = responseHead.headers();
        ByteBuf wholeBody = bufferedBody;
        BodyRelay finishedRelay = relay;
        boolean reusable = trailers != null && finishedAttempt.mayHaveRun() && HttpUtil.isKeepAlive(responseHead)
                && channel.isActive() && decoder.isClear();
        HttpHeaders finalTrailers = trailers;
        reset();
        // The connection returns to the pool before the balancer is notified, because the balancer's next attempt may use it.
        if (reusable) {
            endpoint.returnToPool(channel);
        } else {
            channel.close();
        }
        if (finishedRelay != null && finalTrailers != null) {
            finishedRelay.complete(finalTrailers);
            finishedAttempt.end(Outcome.OK, null);
        } else if (finishedRelay != null) {
            finishedRelay.abort();
            finishedAttempt.end(Outcome.RESET, null);
        } else if (outcome == Outcome.OK) {
            finishedAttempt.end(outcome, new ServerConnections.BufferedResponse(headers, wholeBody, memoryBudget));
        } else {
            memoryBudget.release(wholeBody.capacity());
            wholeBody.release();
            finishedAttempt.end(outcome, null);
        }
    }

    private void reset() {
        attempt = null;
        responseHead = null;
        bufferedBody = Unpooled.EMPTY_BUFFER;
        relay = null;
        trailers = null;
        arrivedBeforeRequestWasSent = false;
        responseDone = false;
    }

    /** Returns whether a response is valid HTTP/1. The proxy never asks for a protocol switch, and what follows one is not HTTP/1. */
    private static boolean isSupported(HttpResponse response) {
        return response.decoderResult().isSuccess() && response.protocolVersion().majorVersion() == 1
                && !response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
    }

    private Outcome outcome() {
        int status = responseHead.status().code();
        if (latestPartValid && status == 200) {
            return Outcome.OK;
        }
        boolean rejected = (status == 503 || status == 504) && "1".equals(responseHead.headers().get(Headers.NOT_PROCESSED));
        return latestPartValid && rejected ? Outcome.FULL : Outcome.ERROR;
    }

    @Override
    public void setReading(boolean on) {
        channel.config().setAutoRead(on);
    }

    @Override
    public void relayCancelled() {
        if (attempt != null) {
            attempt.abort(Outcome.CANCELLED);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) throws Exception {
        if (attempt != null) {
            attempt.resumeSending();
        }
        super.channelWritabilityChanged(ctx);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        endpoint.onConnectionClosed(channel);
        deliverResponse();
        Attempt interruptedAttempt = attempt;
        BodyRelay interruptedRelay = relay;
        memoryBudget.release(bufferedBody.capacity());
        bufferedBody.release();
        reset();
        if (interruptedRelay != null) {
            interruptedRelay.abort();
        }
        if (interruptedAttempt != null) {
            interruptedAttempt.end(interruptedAttempt.mayHaveRun() ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
        }
        super.channelInactive(ctx);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        if (event instanceof IdleStateEvent) {
            // An attempt has a timeout of its own, but a relayed body in either direction has only this idle timeout.
            boolean serverIsSilent = relay != null && channel.config().isAutoRead();
            boolean requestIsBlocked = attempt != null && attempt.isSendBlocked();
            if (attempt == null || serverIsSilent || requestIsBlocked) {
                ctx.close();
            }
        }
        if (event instanceof ChannelInputShutdownEvent) {
            // The decoder has seen this event already, so a response that ends with the connection is complete by now.
            ctx.close();
        }
        super.userEventTriggered(ctx, event);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // The decoder may still emit an end of the response when the connection closes; it must not count as a complete response.
        connectionFailed = true;
        ctx.close();
    }
}

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
 * The reading side of a connection to a backend. It rests, with no attempt, or carries one: then nothing of the answer
 * has come, or it is gathered, or passed on, or {@code done}; and whatever ends the answer ends the attempt.
 */
final class BackendConnection extends SimpleChannelInboundHandler<HttpObject> implements BodyRelay.Source {
    private final Backends.Endpoint endpoint;
    private final Buffers buffers;
    private final BackendDecoder decoder = new BackendDecoder(this::due);
    private Channel channel;
    private Backends.Attempt attempt;
    /** The answer that is coming, and what of it has come; a long one is passed on instead. */
    private HttpResponse head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private BodyRelay relay;
    private HttpHeaders trailers;
    /** Something came of it before the request had gone out whole. */
    private boolean early;
    /** Between an interim answer and the next. */
    private boolean interim;
    private boolean sound;
    /** Nothing more is wanted of the answer; it is handed on when the read under way is over. */
    private boolean done;
    private boolean broken;

    BackendConnection(Backends.Endpoint endpoint, Buffers buffers) {
        this.endpoint = endpoint;
        this.buffers = buffers;
    }

    BackendDecoder decoder() {
        return decoder;
    }

    /** Takes the attempt whose answer comes next. */
    void carry(Backends.Attempt next) {
        attempt = next;
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
        } else if (HttpUtil.getContentLength(response, 0L) > Backends.MAX_BODY) {
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
        relay = new BodyRelay(body, this, buffers);
        body = Unpooled.EMPTY_BUFFER;
        attempt.streams(new Backends.Stream(head.headers(), HttpUtil.getContentLength(head, -1L), relay));
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
        if (sound && relay == null && bytes > 0 && (body.readableBytes() + bytes > Backends.MAX_BODY || buffers.full())) {
            longAnswer();
        }
        if (sound && relay != null) {
            relay.add(content.content().retain());
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
        Backends.Attempt a = attempt;
        Outcome outcome = outcome();
        HttpHeaders headers = head.headers();
        ByteBuf whole = body;
        BodyRelay passed = relay;
        boolean reusable = trailers != null && a.mayHaveRun() && HttpUtil.isKeepAlive(head)
                && channel.isActive() && decoder.isClear();
        HttpHeaders last = trailers;
        forget();
        // Back into the pool before the module hears: what it sends next may take this very connection.
        if (reusable) {
            endpoint.keep(channel);
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
            a.end(outcome, new Backends.Answer(headers, whole));
        } else {
            whole.release();
            a.end(outcome, null);
        }
    }

    private void forget() {
        attempt = null;
        head = null;
        body = Unpooled.EMPTY_BUFFER;
        relay = null;
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
        endpoint.closed(channel);
        settle();
        Backends.Attempt a = attempt;
        BodyRelay passed = relay;
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
            boolean silent = relay != null && channel.config().isAutoRead();
            boolean stuck = attempt != null && attempt.isStuck();
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

package walkpost.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** One client's connection. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    private static final long IDLE_S = 60;
    /** A peer whose request's head is not whole by then is owed an error or a close; the platform allows 3 s. */
    private static final long HEAD_MS = 2_500;
    /** A body has to bring so much in each such time: a tenth of what the platform's slowest client sends. */
    private static final int LEAST_BYTES = 16 * 1024;
    /** Whoever has sent nothing for so long since it came makes room for others, where there is none. */
    private static final long SILENT_MS = 500;

    private final Frontend front;
    private final Closing closing;
    private final ReadAhead waiting;
    private final RequestDecoder decoder = new RequestDecoder();
    /** Whether there was a time when it was not read from: behind what has been read since, the client's end may stand. */
    private boolean endMayBeUnread;
    private int reads;
    private Channel channel;
    private Exchange exchange;
    private Intake intake;
    /** Whether any request has come whole, or its body is long and has begun. */
    private boolean taken;
    private int progress;
    private long readAt;
    private FullHttpResponse parting;
    private Future<?> overdue;

    ClientConnection(Frontend front, Closing closing, boolean waited) {
        this.front = front;
        this.closing = closing;
        this.waiting = new ReadAhead(front.buffers);
        this.endMayBeUnread = waited;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        front.opened(this);
        expectHead();
        channel.pipeline().addLast(new IdleStateHandler(0, 0, IDLE_S, TimeUnit.SECONDS), decoder,
                new HttpResponseEncoder(), new Requests());
    }

    /** A request's time counts from its last byte; the nearest to its sending that can be known is this read. */
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        lookBehind();
        if (parting != null || closing.begun()) {
            ReferenceCountUtil.release(message);
            return;
        }
        readAt = front.beat().arrivedAt();
        if (!receiving()) {
            expectHead();
            front.sockets.clientIdle(closing, false);
        }
        super.channelRead(ctx, message);
        if (closing.begun()) {
            stopExpecting();
        } else if (receiving()) {
            expectHead();
        } else {
            if (taken) {
                stopExpecting();
            }
            rest();
        }
    }

    /** One read takes in only so much: the end has been looked for once a look at the sockets has brought nothing more. */
    private void lookBehind() {
        reads++;
        endMayBeUnread |= front.beat().heldUp();
        if (endMayBeUnread) {
            int before = reads;
            front.beat().afterLook(() -> endMayBeUnread &= reads != before);
        }
    }

    /** Returns whether bytes of a request have come that is not whole yet. */
    private boolean receiving() {
        return intake != null || decoder.midway();
    }

    /** Where nothing is asked, the connection may be given up; and it ends if every answer is to be the last. */
    private void rest() {
        if (exchange != null || parting != null || receiving() || closing.begun()) {
            return;
        }
        if (front.closing()) {
            closing.begin();
        } else if (taken) {
            // Not sooner: a new connection's first request may wait unread, and is taken all the same.
            front.sockets.clientIdle(closing, true);
        }
    }

    /** Not a matter of silence: one byte now and then would keep an unfinished request, and its socket, for ever. */
    private void expectHead() {
        if (overdue == null) {
            overdue = channel.eventLoop().schedule(this::silent, SILENT_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void expectProgress() {
        stopExpecting();
        progress = 0;
        overdue = channel.eventLoop().schedule(this::stalled, HEAD_MS, TimeUnit.MILLISECONDS);
    }

    private void stopExpecting() {
        if (overdue != null) {
            overdue.cancel(false);
            overdue = null;
        }
    }

    private void silent() {
        if (!taken && !receiving()) {
            front.sockets.clientIdle(closing, true);
        }
        overdue = channel.eventLoop().schedule(this::unfinished, HEAD_MS - SILENT_MS, TimeUnit.MILLISECONDS);
    }

    private void unfinished() {
        overdue = null;
        if (receiving()) {
            part(tooSlow());
        } else if (exchange == null) {
            closing.begin();
        }
    }

    /** A body that the proxy itself is not reading, or has not asked for yet, is not late. */
    private void stalled() {
        if (progress >= LEAST_BYTES || !channel.config().isAutoRead() || intake.announced()) {
            expectProgress();
        } else {
            giveUpIntake();
            part(tooSlow());
        }
    }

    private FullHttpResponse tooSlow() {
        return Frontend.plain(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not end in time");
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        front.closed(this);
        stopExpecting();
        giveUpIntake();
        waiting.giveUp();
        if (exchange != null) {
            Exchange gone = exchange;
            exchange = null;
            gone.clientGone();
        }
        super.channelInactive(ctx);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) throws Exception {
        if (exchange != null) {
            exchange.flow();
        }
        super.channelWritabilityChanged(ctx);
    }

    void received(HttpObject message) {
        if (parting != null || closing.begun()) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            giveUpIntake();
            part(Frontend.plain(HttpResponseStatus.BAD_REQUEST, "not a request that can be read"));
            return;
        }
        if (message instanceof HttpRequest head) {
            decoder.headEnded();
            begins(head);
        }
        if (message instanceof HttpContent content && intake != null) {
            intake.add(content);
        }
    }

    private void begins(HttpRequest head) {
        try {
            Framing.check(head);
            intake = new Intake(front, this, head);
            expectProgress();
            if (exchange == null) {
                intake.invite();
            }
        } catch (Framing.Unacceptable e) {
            part(Frontend.plain(e.status(), e.getMessage()));
        }
    }

    /** The request that is coming will not be whole; if it is being passed on already, its client is as good as gone. */
    private void giveUpIntake() {
        if (intake == null) {
            return;
        }
        Intake gone = intake;
        intake = null;
        stopExpecting();
        if (gone.passed() == null) {
            gone.release();
        } else if (gone.passed() == exchange) {
            exchange = null;
            gone.passed().clientGone();
        } else if (waiting.remove(gone.passed())) {
            gone.passed().clientGone();
        }
    }

    void whole() {
        intake = null;
        stopExpecting();
    }

    void take(Exchange next) {
        taken = true;
        if (exchange == null) {
            exchange = next;
            next.begin();
        } else if (!waiting.offer(next)) {
            intake = null;
            stopExpecting();
            next.clientGone();
            part(Frontend.plain(HttpResponseStatus.TOO_MANY_REQUESTS, "too much at once"));
        }
    }

    /** Whatever else waits, reading goes on: behind it the client's end may stand. */
    void pauseBody(boolean on) {
        if (!closing.begun()) {
            channel.config().setAutoRead(!on || parting != null);
        }
    }

    /** The exchange is over; the next that was read ahead begins. */
    void answered(boolean keepAlive) {
        exchange = keepAlive ? waiting.poll() : null;
        if (exchange != null) {
            exchange.begin();
        } else if (!keepAlive) {
            // Whatever the client has sent beyond its own last request, or beyond what it was told is the last.
            giveUpIntake();
            waiting.giveUp();
            closing.begin();
        } else if (parting != null) {
            hangUp();
        } else if (intake != null) {
            intake.invite();
        } else {
            rest();
        }
    }

    /** Answers all that has been taken, as there is no time left. */
    void answerNow() {
        if (exchange != null) {
            exchange.answerNow();
        }
    }

    /** Returns whether nothing more is to be answered after the exchange that is under way. */
    boolean last() {
        return waiting.isEmpty() && parting == null && !receiving();
    }

    void closeIfIdle() {
        if (exchange == null && parting == null && !receiving()) {
            closing.begin();
        }
    }

    /** Answers what can't be read as a request, after those that came before it; nothing is read beyond it. */
    void part(FullHttpResponse answer) {
        if (parting != null || closing.begun()) {
            answer.release();
            return;
        }
        parting = answer;
        channel.config().setAutoRead(true);
        if (exchange == null) {
            hangUp();
        }
    }

    /** The exchange is answered before its request has come whole: what comes on is nobody's. */
    void partEarly(FullHttpResponse answer) {
        exchange = null;
        intake = null;
        stopExpecting();
        waiting.giveUp();
        part(answer);
    }

    private void hangUp() {
        HttpUtil.setKeepAlive(parting, false);
        channel.write(parting);
        closing.begin();
    }

    Channel channel() {
        return channel;
    }

    /** When the bytes that came last may have come, on the proxy's clock. */
    long readAt() {
        return readAt;
    }

    /** Returns whether it is this exchange's answer that is to come next. */
    boolean answers(Exchange asked) {
        return exchange == asked;
    }

    /** Returns whether the client's end may have come some time ago and still lie unread. */
    boolean endMayBeUnread() {
        return endMayBeUnread;
    }

    /** Returns whether the request that is coming is this one. */
    boolean takesIn(Intake asked) {
        return intake == asked;
    }

    void progressed(int bytes) {
        progress += bytes;
    }

    /** What the decoder makes of the bytes, and what goes wrong. */
    private final class Requests extends SimpleChannelInboundHandler<HttpObject> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            received(message);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
            // One whose client has taken nothing of its answer for so long has no client.
            if (event instanceof IdleStateEvent && (exchange != null ? exchange.answering() : closing.begun())) {
                ctx.close();
            } else if (event instanceof IdleStateEvent && exchange == null) {
                closing.begin();
            }
            super.userEventTriggered(ctx, event);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                front.log.failure("connection_failed", cause);
            }
            ctx.close();
        }
    }
}

package walkpost.lab.server;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import walkpost.lab.ledger.Seen;
import walkpost.lab.net.Book;
import walkpost.lab.server.TileServer.Job;

/** One connection that a proxy has opened to a tile server; one request at a time. Owned by its event loop. */
final class ServerConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final int MOST_BODY = 1 << 20;

    private final TileServerStand stand;
    private final SocketChannel channel;
    private final int proxy;
    private final long number;
    private final boolean over;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private HttpRequest head;
    private long firstUs;
    private boolean fresh = true;
    private Job job;
    private long attempt;
    private ScheduledFuture<?> idle;
    private long idleUs;

    /** Creates one; {@code over} where the machine holds as many as it can already. */
    ServerConnection(TileServerStand stand, SocketChannel channel, int proxy, long number, boolean over) {
        this.stand = stand;
        this.channel = channel;
        this.proxy = proxy;
        this.number = number;
        this.over = over;
    }

    int proxy() {
        return proxy;
    }

    long number() {
        return number;
    }

    boolean over() {
        return over;
    }

    /** Ends the connection once nothing was asked on it for so long. */
    void idleAfter(long us) {
        idleUs = us;
        rest();
    }

    private void rest() {
        idle = channel.eventLoop().schedule(() -> {
            channel.close();
        }, idleUs, TimeUnit.MICROSECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) throws IOException {
        if (message.decoderResult().isFailure()) {
            answerPlain(HttpResponseStatus.BAD_REQUEST, true);
            return;
        }
        if (message instanceof HttpRequest request) {
            idle.cancel(false);
            head = request;
            firstUs = stand.now();
            body.reset();
        }
        if (message instanceof HttpContent content && head != null) {
            if (body.size() < MOST_BODY) {
                content.content().readBytes(body, content.content().readableBytes());
            }
            if (message instanceof LastHttpContent) {
                HttpRequest request = head;
                head = null;
                whole(request);
            }
        }
    }

    private void whole(HttpRequest request) {
        String path = request.uri();
        String id = request.headers().get("X-Request-ID");
        if (stand.isDown()) {
            return;
        }
        if (path.equals("/health") || path.equals("/status/load")) {
            boolean known = stand.probed(proxy);
            answerPlain(known ? HttpResponseStatus.OK : HttpResponseStatus.NOT_FOUND, false);
        } else if (stand.stage().book().find(id) == null) {
            stand.stage().ledger().note(new Seen.Stranger(stand.now(), proxy, stand.server().id(), String.valueOf(id),
                    request.method() + " " + path));
            answerPlain(id == null ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.BAD_REQUEST, false);
        } else {
            long content = Book.content(request.method().name(), path, request.headers().get("Idempotency-Key"), body.toByteArray());
            boolean first = fresh;
            fresh = false;
            stand.arrived(this, firstUs, id, content, first);
        }
    }

    /** The machine has taken the attempt. */
    void serving(Job taken, long number) {
        job = taken;
        attempt = number;
    }

    /** The attempt has ended at the machine. */
    void answer(boolean served, int size) {
        Job done = job;
        job = null;
        if (served) {
            byte[] made = made(done.id(), size);
            note(done.id(), attempt, Seen.End.SERVED, Book.checksum(made));
            send(HttpResponseStatus.OK, Unpooled.wrappedBuffer(made), false, false);
        } else {
            note(done.id(), attempt, Seen.End.ERROR, 0);
            send(HttpResponseStatus.INTERNAL_SERVER_ERROR, text("error\n"), false, false);
        }
    }

    /** Makes an answer that tells who made it, for which request and in which attempt, filled up to its size. */
    private byte[] made(String id, int size) {
        var text = new StringBuilder("tile of ").append(id).append(" by ").append(stand.server().id()).append(" in ").append(attempt)
                .append('\n');
        while (text.length() < size) {
            text.append("~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~\n");
        }
        text.setLength(Math.max(size, 64));
        return text.toString().getBytes(StandardCharsets.US_ASCII);
    }

    /** The machine has not looked at the attempt. */
    void turnAway(long number, String id) {
        note(id, number, Seen.End.TURNED_AWAY, 0);
        send(HttpResponseStatus.SERVICE_UNAVAILABLE, text("not processed\n"), true, over);
    }

    private void note(String id, long number, Seen.End end, long made) {
        stand.stage().ledger().note(new Seen.Replied(stand.now(), number, id, stand.server().id(), end, made));
    }

    private void answerPlain(HttpResponseStatus status, boolean last) {
        send(status, text(status.reasonPhrase() + "\n"), false, last || over);
    }

    private static ByteBuf text(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    private void send(HttpResponseStatus status, ByteBuf content, boolean notProcessed, boolean last) {
        var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
        HttpUtil.setContentLength(response, content.readableBytes());
        if (notProcessed) {
            response.headers().set("X-Not-Processed", "1");
        }
        if (last) {
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
        }
        var written = channel.writeAndFlush(response);
        if (last) {
            written.addListener(ChannelFutureListener.CLOSE);
        } else {
            idle.cancel(false);
            rest();
        }
    }

    /** Ends it as a machine does that dies: what is held on it is lost. */
    void reset() {
        TileServerStand.reset(channel);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        idle.cancel(false);
        if (job != null) {
            note(job.id(), attempt, stand.isDown() ? Seen.End.DOWN : Seen.End.LEFT, 0);
            stand.left(job);
            job = null;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // A reset by the proxy; whatever else it is, this connection is of no more use.
        ctx.close();
    }
}

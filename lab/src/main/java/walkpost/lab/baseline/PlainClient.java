package walkpost.lab.baseline;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** A client's connection to a plain proxy, one request at a time. Owned by the proxy's event loop. */
final class PlainClient extends SimpleChannelInboundHandler<FullHttpRequest> {
    /** Whoever has sent no request by then is hung up on: an error or a close is owed within 3 s (TERMS). */
    private static final long SILENT_MS = 2_500;

    private final PlainProxy proxy;
    private Channel channel;
    private boolean asked;
    private PlainExchange open;

    PlainClient(PlainProxy proxy) {
        this.proxy = proxy;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        if (proxy.is(Wrong.SHUTS_THE_DOOR) && proxy.random().nextInt(5) == 0) {
            ctx.channel().config().setAutoRead(false);
            ctx.executor().schedule(() -> ctx.close(), 20, TimeUnit.MILLISECONDS);
        }
        ctx.executor().schedule(() -> {
            if (!asked) {
                ctx.close();
            }
        }, SILENT_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        asked = true;
        String id = request.headers().get("X-Request-ID");
        Terms.RequestClass requestClass = proxy.terms().classes().get(request.headers().get("X-Priority-Class", ""));
        if (request.decoderResult().isFailure() || !request.uri().equals("/ready") && (id == null || requestClass == null)) {
            answer(proxy.is(Wrong.SERVES_THE_RUDE) ? HttpResponseStatus.OK : HttpResponseStatus.BAD_REQUEST, "no proper request\n", true);
        } else if (request.uri().equals("/ready")) {
            answer(proxy.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, "ready\n", false);
        } else {
            open = new PlainExchange(proxy, this, request, id, requestClass);
            open.begin();
        }
    }

    /** Answers with words of the proxy's own. */
    void answer(HttpResponseStatus status, String words, boolean last) {
        answer(status, Unpooled.copiedBuffer(words, StandardCharsets.US_ASCII), last);
    }

    /** Answers the request that is open. */
    void answer(HttpResponseStatus status, ByteBuf body, boolean end) {
        // Who shuts the door to some has to have many at the door.
        boolean last = end || proxy.is(Wrong.SHUTS_THE_DOOR);
        open = null;
        var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        HttpUtil.setContentLength(response, body.readableBytes());
        if (last) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        var written = channel.writeAndFlush(response);
        if (last) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Begins an answer and ends the connection in the middle of it. */
    void breakOff() {
        var response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        HttpUtil.setContentLength(response, 1_000);
        channel.writeAndFlush(response).addListener(written -> channel.eventLoop().schedule(() -> channel.close(), 5,
                TimeUnit.MILLISECONDS));
    }

    void hangUp() {
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (open != null) {
            open.left();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}

package walkpost.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;

/**
 * One request to discovery, on a connection of its own: a few in a minute are not worth keeping any. It holds one descriptor and at most
 * {@link #MAX_ANSWER}, and has no clock but for its connection: who made it ends it in time, however slowly its answer comes.
 */
final class ListRequest extends SimpleChannelInboundHandler<FullHttpResponse> {
    /** Hears once how a request ended, and nothing after {@link #end}. */
    interface Callback {
        /** A sound list has come, of which only the entries are still to be looked at. */
        void received(JsonNode list);

        /** There will be no list; {@code reason} is for the log. */
        void failed(CallFailure failure, String reason);
    }

    /** Makes requests; each is ended by what is returned. */
    interface Maker {
        Runnable make(InetSocketAddress address, String uri, int connectMs, Callback callback);
    }

    /** In bytes; one that grows past this has failed, and what has come of it is given back. */
    static final int MAX_ANSWER = 8 * 1024 * 1024;

    private final InetSocketAddress address;
    private final String uri;
    private final Callback callback;
    private final Channel channel;
    private boolean answerBegun;
    private boolean ended;

    ListRequest(EventLoop loop, ChannelFactory<Channel> transport, InetSocketAddress address, String uri, int connectMs, Callback callback) {
        this.address = address;
        this.uri = uri;
        this.callback = callback;
        ChannelFuture connect = new Bootstrap().group(loop).channelFactory(transport)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMs)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new AnswerStart(), new HttpClientCodec(), new HttpObjectAggregator(MAX_ANSWER), ListRequest.this);
                    }
                }).connect(address);
        channel = connect.channel();
        connect.addListener(f -> {
            if (!f.isSuccess()) {
                // Without a descriptor the news come at once, from another thread.
                loop.execute(() -> fail(CallFailure.ofConnect(f.cause()), "no connection: " + f.cause().getMessage()));
            }
        });
    }

    /** Notices the first bytes of an answer. */
    private final class AnswerStart extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
            answerBegun = true;
            super.channelRead(ctx, message);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        HttpUtil.setKeepAlive(request, false);
        ctx.writeAndFlush(request);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
        if (!response.status().equals(HttpResponseStatus.OK) || response.decoderResult().isFailure()) {
            fail(response.decoderResult().isFailure() ? CallFailure.BROKEN_ANSWER : CallFailure.REJECTED, "answer " + response.status());
            return;
        }
        try (InputStream body = new ByteBufInputStream(response.content())) {
            JsonNode list = Config.JSON.readTree(body);
            if (list.path("version").canConvertToLong() && list.path("version").asLong() >= 0 && list.path("full").isBoolean()
                    && list.path("servers").isArray()) {
                receive(list);
            } else {
                fail(CallFailure.REJECTED, "the answer is no list");
            }
        } catch (IOException e) {
            fail(CallFailure.BROKEN_ANSWER, "the answer is not JSON");
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        broke("the connection broke");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        broke(cause.toString());
    }

    private void broke(String reason) {
        fail(answerBegun ? CallFailure.BROKEN_ANSWER : CallFailure.ENDED_UNANSWERED, reason);
    }

    private void receive(JsonNode list) {
        if (!ended) {
            end();
            callback.received(list);
        }
    }

    private void fail(CallFailure failure, String reason) {
        if (!ended) {
            end();
            callback.failed(failure, reason);
        }
    }

    void end() {
        ended = true;
        Channels.close(channel);
    }
}

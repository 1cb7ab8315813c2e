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
 * Sends one request for the list of servers to discovery, on a connection of its own: with a few requests a minute, keeping connections
 * open gains nothing. It uses one descriptor and at most {@link #MAX_RESPONSE_BYTES} of memory. Only the connect has a timeout; the
 * caller must end a request whose response takes too long. Used on the event loop only.
 */
final class ListRequest extends SimpleChannelInboundHandler<FullHttpResponse> {
    /** Is notified once, on the event loop, of how a request ended; never after {@link #end}. */
    interface Callback {
        /** Called when a list with valid outer fields has been received; its entries are not checked yet. */
        void received(JsonNode list);

        /** Called when the request has failed; {@code reason} is for the log. */
        void failed(CallFailure failure, String reason);
    }

    /** Sends requests. */
    interface Factory {
        /** Sends a request; returns an action that ends it. */
        Runnable send(InetSocketAddress address, String uri, int connectTimeoutMs, Callback callback);
    }

    /** A longer response counts as failed, and the part received is released. */
    static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

    private final InetSocketAddress address;
    private final String uri;
    private final Callback callback;
    private final Channel channel;
    private boolean responseStarted;
    private boolean ended;

    ListRequest(EventLoop loop, ChannelFactory<Channel> transport, InetSocketAddress address, String uri, int connectTimeoutMs,
            Callback callback) {
        this.address = address;
        this.uri = uri;
        this.callback = callback;
        ChannelFuture connect = new Bootstrap().group(loop).channelFactory(transport)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel newChannel) {
                        newChannel.pipeline().addLast(new ResponseStartDetector(), new HttpClientCodec(),
                                new HttpObjectAggregator(MAX_RESPONSE_BYTES), ListRequest.this);
                    }
                }).connect(address);
        channel = connect.channel();
        connect.addListener(connected -> {
            if (!connected.isSuccess()) {
                // If no descriptor is available this listener runs at once, and not on the event loop.
                loop.execute(() -> fail(CallFailure.ofConnect(connected.cause()),
                        "connecting to discovery failed: " + connected.cause().getMessage()));
            }
        });
    }

    /** Records that the first bytes of the response have arrived. */
    private final class ResponseStartDetector extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
            responseStarted = true;
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
            fail(response.decoderResult().isFailure() ? CallFailure.BROKEN_ANSWER : CallFailure.REJECTED,
                    "HTTP status " + response.status());
            return;
        }
        try (InputStream body = new ByteBufInputStream(response.content())) {
            JsonNode list = Config.JSON.readTree(body);
            if (list.path("version").canConvertToLong() && list.path("version").asLong() >= 0 && list.path("full").isBoolean()
                    && list.path("servers").isArray()) {
                receive(list);
            } else {
                fail(CallFailure.REJECTED, "the response is JSON but not a list: expected 'version' (0 or more), 'full' and 'servers'");
            }
        } catch (IOException e) {
            fail(CallFailure.BROKEN_ANSWER, "the response is not valid JSON");
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        onConnectionLost("discovery closed the connection before the end of the response");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        onConnectionLost(cause.toString());
    }

    private void onConnectionLost(String reason) {
        fail(responseStarted ? CallFailure.BROKEN_ANSWER : CallFailure.ENDED_UNANSWERED, reason);
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

    /** Closes the connection and drops any result. */
    void end() {
        ended = true;
        Channels.close(channel);
    }
}

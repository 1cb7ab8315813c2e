package walkpost.lab.baseline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.util.concurrent.ScheduledFuture;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A plain proxy's side of discovery: the whole list once, then a watch after the other. Owned by the proxy's event loop. */
final class ListClient {
    private static final long AGAIN_MS = 500;
    private static final long MOST_HOLD_MS = 20_000;
    /** An answer that is later than this is not coming; a little later than its wait, where it waits: told it must be 2 s after that. */
    private static final long SILENCE_MS = 4_000;
    private static final long AFTER_WAIT_MS = 1_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Consumer<JsonNode> news;
    private final long holdMs;
    private final boolean trustful;
    private Channel channel;
    private ScheduledFuture<?> silence;
    private int version = -1;

    /**
     * Creates one that has not asked yet.
     *
     * @param askUs the time within which it has to ask; a watch waits twice as long at most
     * @param trustful whether it waits for good where nothing comes
     */
    ListClient(EventLoop loop, InetSocketAddress address, Consumer<JsonNode> news, long askUs, boolean trustful) {
        this.loop = loop;
        this.address = address;
        this.news = news;
        this.trustful = trustful;
        holdMs = Math.min(MOST_HOLD_MS, 2 * askUs / 1_000);
    }

    void ask() {
        new Bootstrap().group(loop).channel(NioSocketChannel.class).handler(new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel opened) {
                opened.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(8 << 20), new Answers());
            }
        }).connect(address).addListener((io.netty.channel.ChannelFuture connected) -> {
            if (connected.isSuccess()) {
                channel = connected.channel();
                call();
            } else {
                later();
            }
        });
    }

    private void later() {
        version = -1;
        loop.schedule(this::ask, AGAIN_MS, TimeUnit.MILLISECONDS);
    }

    private void call() {
        String uri = "/v1/endpoints" + (version < 0 ? "" : "?from=" + version + "&hold_ms=" + holdMs);
        var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri, Unpooled.EMPTY_BUFFER);
        request.headers().set("Host", "discovery");
        channel.writeAndFlush(request);
        if (!trustful) {
            Channel asked = channel;
            silence = loop.schedule(() -> {
                asked.close();
            }, version < 0 ? SILENCE_MS : holdMs + AFTER_WAIT_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void heard() {
        if (silence != null) {
            silence.cancel(false);
        }
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) throws IOException {
            heard();
            if (response.status().code() != 200) {
                ctx.close();
                return;
            }
            JsonNode list = JSON.readTree(response.content().toString(StandardCharsets.UTF_8));
            version = list.path("version").asInt();
            news.accept(list);
            call();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            heard();
            later();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

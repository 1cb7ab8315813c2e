package walkpost.lab.client;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import walkpost.lab.ledger.Seen;
import walkpost.lab.net.Stage;

/** Asks one proxy again and again whether it is ready, and tells the front. Owned by one event loop. */
public final class ReadyWatch {
    private static final int ANSWER_MS = 1_000;
    /** Whoever is admitted is asked so many times less often. */
    private static final int SELDOM = 5;

    private final Stage stage;
    private final Front front;
    private final EventLoop loop;
    private final int proxy;
    private final InetSocketAddress address;
    private Channel channel;
    private boolean asked;
    private boolean silent;
    private boolean stopped;

    /** Creates one that asks nothing yet. */
    public ReadyWatch(Stage stage, Front front, int proxy, InetSocketAddress address) {
        this.stage = stage;
        this.front = front;
        this.proxy = proxy;
        this.address = address;
        loop = stage.clientLoops().of(proxy);
    }

    /** Begins to ask. */
    public void start() {
        loop.execute(this::ask);
    }

    /** Hears nothing of the proxy from now on, or all again. */
    public void silence(boolean now) {
        loop.execute(() -> silent = now);
    }

    /** Asks nothing more. */
    public void stop() {
        loop.execute(() -> {
            stopped = true;
            if (channel != null) {
                channel.close();
            }
        });
    }

    private void ask() {
        if (stopped) {
            return;
        }
        asked = true;
        if (silent) {
            loop.schedule(() -> told(false), ANSWER_MS, TimeUnit.MILLISECONDS);
        } else if (channel != null && channel.isActive()) {
            write();
        } else {
            new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, ANSWER_MS)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel channel) {
                            channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(4_096), new Answers());
                        }
                    }).connect(address).addListener((io.netty.channel.ChannelFuture connected) -> {
                        if (connected.isSuccess()) {
                            channel = connected.channel();
                            write();
                        } else {
                            told(false);
                        }
                    });
        }
    }

    private void write() {
        var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/ready", Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, "service.internal");
        Channel of = channel;
        of.writeAndFlush(request);
        loop.schedule(() -> {
            if (asked && of == channel) {
                of.close();
            }
        }, ANSWER_MS, TimeUnit.MILLISECONDS);
    }

    private void told(boolean ready) {
        if (!asked) {
            return;
        }
        asked = false;
        boolean changed = front.asked(stage.clock().now(), proxy, ready);
        if (changed) {
            stage.ledger().note(new Seen.ProxyIs(stage.clock().now(), proxy, ready ? Seen.Life.ADMITTED : Seen.Life.DROPPED, ""));
        }
        long pollUs = stage.scenario().front().pollUs();
        loop.schedule(this::ask, ready ? pollUs * SELDOM : pollUs, TimeUnit.MICROSECONDS);
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            told(response.status().code() == 200);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            told(false);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

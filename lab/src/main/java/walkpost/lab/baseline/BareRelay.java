package walkpost.lab.baseline;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Passes bytes between each client's connection and a connection to one server, in turn, and looks at none of them but the
 * first, as the front wants to hear that it is ready: what the sockets alone cost, the floor under any proxy. One event loop
 * owns all of it.
 */
final class BareRelay {
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final List<InetSocketAddress> servers = new ArrayList<>();
    private int next;

    private BareRelay() { }

    /** Starts one; returns what it runs until. */
    static Channel start(Path config) throws IOException {
        Terms terms = Terms.read(config);
        var relay = new BareRelay();
        for (var line : terms.known().path("servers")) {
            relay.servers.add(Terms.address(line.path("addr").asText()));
        }
        return new ServerBootstrap().group(relay.loop, relay.loop).channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel client) {
                        client.pipeline().addLast(new First(relay, client));
                    }
                }).bind(terms.listen()).syncUninterruptibly().channel();
    }

    /** Looks at the first bytes of a connection: the front asks on connections of its own. */
    private static final class First extends ChannelInboundHandlerAdapter {
        private static final String ASKED = "GET /ready ";
        private static final String READY = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

        private final BareRelay relay;
        private final SocketChannel client;
        private boolean front;

        private First(BareRelay relay, SocketChannel client) {
            this.relay = relay;
            this.client = client;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            front |= bytes.toString(bytes.readerIndex(), Math.min(ASKED.length(), bytes.readableBytes()), StandardCharsets.US_ASCII)
                    .equals(ASKED);
            if (front) {
                bytes.release();
                ctx.writeAndFlush(Unpooled.copiedBuffer(READY, StandardCharsets.US_ASCII));
            } else {
                client.config().setAutoRead(false);
                relay.connect(client, bytes);
                ctx.pipeline().remove(this);
            }
        }
    }

    private void connect(SocketChannel client, ByteBuf first) {
        next = (next + 1) % servers.size();
        new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                .handler(new Pass(client)).connect(servers.get(next)).addListener((io.netty.channel.ChannelFuture connected) -> {
                    if (connected.isSuccess()) {
                        client.pipeline().addLast(new Pass(connected.channel()));
                        connected.channel().writeAndFlush(first);
                        client.config().setAutoRead(true);
                    } else {
                        first.release();
                        client.close();
                    }
                });
    }

    /** Passes what comes on to the other side. */
    private static final class Pass extends ChannelInboundHandlerAdapter {
        private final Channel other;

        private Pass(Channel other) {
            this.other = other;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (other.isActive()) {
                other.write(bytes, other.voidPromise());
            } else {
                ReferenceCountUtil.release(bytes);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            other.flush();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            other.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

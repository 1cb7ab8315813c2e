package walkpost.fleet.shell;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.ReferenceCountUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * The connection over which one peer is sent what is too long for a datagram. What it can't take is dropped and counted: the protocols
 * bear loss, and waiting messages would fill the memory. Owned by the fleet's event loop.
 */
final class Link {
    private static final int CONNECT_MS = 1_000;
    static final int IDLE_S = 30;
    /** Bytes that may wait for a peer that reads slowly, or not yet. */
    static final int MOST_WAITING = 4 << 20;

    private final Counters counters;
    private final Channel channel;
    private Runnable whenEnded = () -> { };
    private boolean ended;

    /** Connects from a host's address, any port: a peer, or what lies between, tells by it who sends. */
    Link(EventLoop loop, InetAddress from, InetSocketAddress to, Counters counters) {
        this(loop, NioSocketChannel::new, from, to, counters);
    }

    /** Connects over a channel of another making. */
    Link(EventLoop loop, ChannelFactory<Channel> transport, InetAddress from, InetSocketAddress to, Counters counters) {
        this.counters = counters;
        ChannelFuture connecting = new Bootstrap().group(loop).channelFactory(transport)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(MOST_WAITING / 2, MOST_WAITING))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                        made.pipeline().addLast(new IdleStateHandler(0, 0, IDLE_S), new Guard());
                    }
                }).connect(to, new InetSocketAddress(from, 0));
        channel = connecting.channel();
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                channel.flush();
            } else {
                counters.add("connections_failed", 1);
                // Without a descriptor the news come from another thread, and the channel's own end never does.
                loop.execute(this::ended);
            }
        });
        channel.closeFuture().addListener(closed -> ended());
    }

    private void ended() {
        ended = true;
        whenEnded.run();
    }

    /** Sends a message, or has it wait for the connection. */
    void send(byte[] message) {
        if (ended || !channel.isOpen()) {
            counters.dropped("not_sent");
            return;
        }
        if (!channel.isWritable()) {
            counters.dropped("slow_peer");
            return;
        }
        ByteBuf frame = Unpooled.wrappedBuffer(Unpooled.buffer(Frames.LENGTH).writeInt(message.length), Unpooled.wrappedBuffer(message));
        channel.write(frame).addListener(done -> {
            if (!done.isSuccess()) {
                counters.dropped("not_sent");
            }
        });
        if (channel.isActive()) {
            channel.flush();
        }
    }

    /** Has a task run on the loop once nothing can be sent here any more; at once where that is so already. */
    void onClose(Runnable then) {
        whenEnded = then;
        if (ended) {
            then.run();
        }
    }

    void close() {
        if (channel.isOpen()) {
            channel.close();
        }
    }

    /** A peer never speaks on a connection that was made to it, and one without use is given back. */
    private static final class Guard extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object input) {
            ReferenceCountUtil.release(input);
            ctx.close();
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

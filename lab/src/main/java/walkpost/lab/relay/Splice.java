package walkpost.lab.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import walkpost.lab.net.PlayClock;

/**
 * One connection between two members: a channel to each, and what is under way between them. A silence holds bytes back, ends
 * too, as TCP would send all of it again until it came through. Owned by the relay's loop.
 */
final class Splice {
    /** Beyond this nothing more is read of whoever sends; a process that stands still must not fill the lab. */
    private static final int MOST_HELD = 256 * 1024;

    private final EventLoop loop;
    private final PlayClock clock;
    private final Direction there;
    private final Direction back;
    /** What is done once a way lets something pass again; null for nothing. */
    private Runnable waiting;
    private boolean over;

    /** A piece under way. */
    private record Held(long atUs, ByteBuf bytes) { }

    /**
     * Joins a channel that has come in to a member.
     *
     * @param from where the onward connection seems to come from
     * @param to the member's own address
     */
    static Splice join(SocketChannel in, PlayClock clock, Way there, Way back, InetSocketAddress from, InetSocketAddress to) {
        var splice = new Splice(in, clock, there, back);
        splice.connect(from, to);
        return splice;
    }

    private Splice(SocketChannel in, PlayClock clock, Way there, Way back) {
        this.loop = in.eventLoop();
        this.clock = clock;
        this.there = new Direction(there);
        this.back = new Direction(back);
        this.there.source = in;
        this.back.target = in;
        prepare(in);
        in.pipeline().addLast(this.there);
    }

    private static void prepare(SocketChannel channel) {
        channel.config().setAllowHalfClosure(true).setTcpNoDelay(true);
    }

    /** No connection comes up while nothing passes on either way. */
    private void connect(InetSocketAddress from, InetSocketAddress to) {
        if (over) {
            return;
        }
        if (there.way.silent() || back.way.silent()) {
            waiting = () -> connect(from, to);
            return;
        }
        new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.TCP_NODELAY, true).handler(back).localAddress(from).remoteAddress(to).connect()
                .addListener((io.netty.channel.ChannelFuture connected) -> {
                    if (!connected.isSuccess()) {
                        reset();
                        return;
                    }
                    back.source = (SocketChannel) connected.channel();
                    there.target = (SocketChannel) connected.channel();
                    if (over) {
                        reset(connected.channel());
                    } else {
                        there.pass();
                    }
                });
    }

    /** A way is another now. */
    void changed() {
        Runnable next = waiting;
        waiting = null;
        if (next != null) {
            next.run();
        }
        there.pass();
        back.pass();
    }

    /** Ends both channels so that their peers see a reset, whatever is under way. */
    void reset() {
        over = true;
        there.drop();
        back.drop();
        reset(there.source);
        reset(back.source);
    }

    boolean over() {
        return over;
    }

    /** Returns how many bytes are under way towards the member that was connected to. */
    int heldThere() {
        return there.heldBytes;
    }

    private static void reset(Channel channel) {
        if (channel != null && channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    /** What was read from one channel and is not written to the other yet. */
    private final class Direction extends ChannelInboundHandlerAdapter {
        private final Way way;
        private final ArrayDeque<Held> held = new ArrayDeque<>();
        private int heldBytes;
        private SocketChannel source;
        private SocketChannel target;
        private boolean ended;
        private boolean broken;
        private boolean finished;
        private boolean through;

        private Direction(Way way) {
            this.way = way;
        }

        private Direction other() {
            return this == there ? back : there;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            var bytes = (ByteBuf) message;
            if (over) {
                bytes.release();
                return;
            }
            long at = way.piece(clock.now(), bytes.readableBytes());
            heldBytes += bytes.readableBytes();
            held.add(new Held(at, bytes));
            if (heldBytes > MOST_HELD) {
                ctx.channel().config().setAutoRead(false);
            }
            pass();
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                ended = true;
                pass();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            broken = !finished;
            pass();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            other().pass();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        private void pass() {
            if (over || source == null || target == null || way.silent()) {
                return;
            }
            boolean any = false;
            while (!held.isEmpty() && held.peek().atUs() <= clock.now() && target.isWritable()) {
                Held next = held.poll();
                heldBytes -= next.bytes().readableBytes();
                target.write(next.bytes());
                any = true;
            }
            if (any) {
                target.flush();
            }
            if (heldBytes <= MOST_HELD / 2 && !source.config().isAutoRead()) {
                source.config().setAutoRead(true);
            }
            if (!held.isEmpty()) {
                long left = held.peek().atUs() - clock.now();
                if (left > 0) {
                    loop.schedule(this::pass, left, TimeUnit.MICROSECONDS);
                }
            } else if (broken) {
                reset();
            } else if (ended && !finished) {
                finished = true;
                // What is written but not sent yet would be dropped by an end that overtakes it.
                target.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(sent -> finish());
            }
        }

        private void finish() {
            target.shutdownOutput();
            through = true;
            if (other().through) {
                over = true;
                source.close();
                target.close();
            }
        }

        private void drop() {
            held.forEach(h -> h.bytes().release());
            held.clear();
            heldBytes = 0;
        }
    }
}

package walkpost.lab.client;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.string.StringDecoder;
import io.netty.handler.codec.string.StringEncoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import walkpost.lab.ledger.Seen;
import walkpost.lab.net.Stage;

/**
 * Calls at one proxy's door: a line to a connection, answered by a line. Each call and how it ended is noted. Anybody may call;
 * what becomes of a call is owned by one event loop.
 */
public final class DoorCaller {
    private static final int LONGEST_ANSWER = 4 << 20;
    private static final int CONNECT_MS = 1_000;

    private final Stage stage;
    private final EventLoop loop;
    private final AtomicLong numbers;
    private final int proxy;
    private final InetSocketAddress door;

    /**
     * Creates one.
     *
     * @param numbers whence calls get numbers of their own, the same for all doors of a play
     */
    public DoorCaller(Stage stage, EventLoop loop, AtomicLong numbers, int proxy, InetSocketAddress door) {
        this.stage = stage;
        this.loop = loop;
        this.numbers = numbers;
        this.proxy = proxy;
        this.door = door;
    }

    /** Calls; {@code done} is told on the event loop, at the latest after so many milliseconds. */
    public void call(String line, long limitMs, Consumer<Seen.DoorAnswered> done) {
        loop.execute(() -> new Call(done).begin(line, limitMs));
    }

    /** One call; it ends once. */
    private final class Call extends SimpleChannelInboundHandler<String> {
        private final long number = numbers.getAndIncrement();
        private final Consumer<Seen.DoorAnswered> done;
        private Channel channel;
        private boolean ended;

        private Call(Consumer<Seen.DoorAnswered> done) {
            this.done = done;
        }

        private void begin(String line, long limitMs) {
            stage.ledger().note(new Seen.DoorCalled(stage.clock().now(), number, proxy, line));
            loop.schedule(() -> end(false, "no answer in " + limitMs + " ms"), limitMs, TimeUnit.MILLISECONDS);
            var connected = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS).handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel of) {
                            of.pipeline().addLast(new LineBasedFrameDecoder(LONGEST_ANSWER), new StringDecoder(StandardCharsets.UTF_8),
                                    new StringEncoder(StandardCharsets.UTF_8), Call.this);
                        }
                    }).connect(door);
            channel = connected.channel();
            connected.addListener(f -> {
                if (f.isSuccess() && !ended) {
                    channel.writeAndFlush(line + "\n");
                } else if (!f.isSuccess()) {
                    end(false, "no connection: " + f.cause().getMessage());
                }
            });
        }

        private void end(boolean whole, String line) {
            if (ended) {
                return;
            }
            ended = true;
            channel.close();
            var answered = new Seen.DoorAnswered(stage.clock().now(), number, proxy, whole, line);
            stage.ledger().note(answered);
            done.accept(answered);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, String line) {
            end(true, line);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            end(false, "closed without an answer");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            end(false, String.valueOf(cause.getMessage()));
        }
    }
}

package walkpost.lab.client;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import walkpost.lab.ledger.Seen;
import walkpost.lab.net.Stage;
import walkpost.lab.scenario.Plan;

/** A peer that sends nothing, or what is no request; it looks what it gets for it. Owned by one event loop. */
public final class RudePeer extends SimpleChannelInboundHandler<ByteBuf> {
    /** An error or a close is owed within 3 s (TERMS); with the slack of the rules. */
    private static final long OWED_US = 3_050_000;

    private final Stage stage;
    private final int proxy;
    private final Plan.Peer plan;
    private final StringBuilder got = new StringBuilder();
    private long since;
    private boolean done;

    private RudePeer(Stage stage, int proxy, Plan.Peer plan) {
        this.stage = stage;
        this.proxy = proxy;
        this.plan = plan;
    }

    /** Sends one to a proxy. */
    public static void send(Stage stage, int proxy, InetSocketAddress address, Plan.Peer plan) {
        EventLoop loop = stage.clientLoops().of(proxy);
        var peer = new RudePeer(stage, proxy, plan);
        loop.execute(() -> new Bootstrap().group(loop).channel(NioSocketChannel.class).handler(peer).connect(address)
                .addListener(connected -> {
                    if (!connected.isSuccess()) {
                        peer.done(Seen.Got.UNREACHED);
                    }
                }));
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        since = stage.clock().now();
        if (!plan.silent()) {
            ctx.writeAndFlush(Unpooled.copiedBuffer(plan.bytes(), StandardCharsets.ISO_8859_1));
        }
        ctx.executor().schedule(() -> {
            done(Seen.Got.NOTHING);
            ctx.close();
        }, OWED_US, TimeUnit.MICROSECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
        got.append(bytes.toString(StandardCharsets.ISO_8859_1));
        if (got.length() >= "HTTP/1.1 400".length()) {
            char kind = got.charAt("HTTP/1.1 ".length());
            done(kind == '4' || kind == '5' ? Seen.Got.ERROR : Seen.Got.SERVED);
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        done(Seen.Got.CLOSE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    private void done(Seen.Got what) {
        if (!done) {
            done = true;
            stage.ledger().note(new Seen.PeerIs(stage.clock().now(), proxy, since, plan.silent(), what));
        }
    }
}

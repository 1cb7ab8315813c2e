package walkpost.lab.net;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * The network in a pipeline of the lab's own end: first in it, so that all that passes is late, or held back, as its link
 * has it. Order is kept either way. What is held when the channel closes is released.
 */
public final class LinkHandler extends ChannelDuplexHandler {
    private final Link link;
    private final PlayClock clock;
    private final SplittableRandom random;
    private final ArrayDeque<Held> in = new ArrayDeque<>();
    private final ArrayDeque<Held> out = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private boolean closing;
    private ChannelPromise closed;

    /** Something under way; a write has a promise. */
    private record Held(long atUs, Object message, ChannelPromise promise) { }

    /** Creates the handler of one channel. */
    public LinkHandler(Link link, PlayClock clock) {
        this.link = link;
        this.clock = clock;
        random = new SplittableRandom(System.identityHashCode(this));
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        link.add(this);
        if (link.silentTowards()) {
            ctx.channel().config().setAutoRead(false);
        }
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        link.remove(this);
        in.forEach(h -> ReferenceCountUtil.release(h.message()));
        in.clear();
        out.forEach(h -> {
            ReferenceCountUtil.release(h.message());
            h.promise().tryFailure(new java.nio.channels.ClosedChannelException());
        });
        out.clear();
    }

    /** The link is another now; called by anyone. */
    void changed() {
        context.executor().execute(() -> {
            context.channel().config().setAutoRead(!link.silentTowards());
            passIn();
            passOut();
        });
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (in.isEmpty() && link.direct()) {
            ctx.fireChannelRead(message);
        } else {
            long at = clock.now() + link.delayUs(random.nextDouble());
            in.add(new Held(in.isEmpty() ? at : Math.max(at, in.peekLast().atUs()), message, null));
            passInAt(at);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        // What came before the end is read before it, unless it is on a way on which nothing passes.
        while (!in.isEmpty() && !link.silentTowards()) {
            ctx.fireChannelRead(in.poll().message());
        }
        ctx.fireChannelReadComplete();
        ctx.fireChannelInactive();
    }

    private void passInAt(long at) {
        context.executor().schedule(this::passIn, Math.max(0, at - clock.now()), TimeUnit.MICROSECONDS);
    }

    private void passIn() {
        boolean any = false;
        while (!in.isEmpty() && !link.silentTowards() && in.peek().atUs() <= clock.now()) {
            context.fireChannelRead(in.poll().message());
            any = true;
        }
        if (any) {
            context.fireChannelReadComplete();
        }
        if (!in.isEmpty() && !link.silentTowards()) {
            passInAt(in.peek().atUs());
        }
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (out.isEmpty() && link.direct() && !link.silentBack()) {
            ctx.write(message, promise);
        } else {
            long at = clock.now() + link.delayUs(random.nextDouble());
            out.add(new Held(out.isEmpty() ? at : Math.max(at, out.peekLast().atUs()), message, promise));
            passOutAt(at);
        }
    }

    @Override
    public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
        if (out.isEmpty() && !link.silentBack()) {
            ctx.close(promise);
        } else {
            closing = true;
            closed = promise;
        }
    }

    private void passOutAt(long at) {
        context.executor().schedule(this::passOut, Math.max(0, at - clock.now()), TimeUnit.MICROSECONDS);
    }

    private void passOut() {
        boolean any = false;
        while (!out.isEmpty() && !link.silentBack() && out.peek().atUs() <= clock.now()) {
            Held held = out.poll();
            context.write(held.message(), held.promise());
            any = true;
        }
        if (any) {
            context.flush();
        }
        if (link.silentBack()) {
            return;
        }
        if (!out.isEmpty()) {
            passOutAt(out.peek().atUs());
        } else if (closing) {
            closing = false;
            context.close(closed);
        }
    }
}

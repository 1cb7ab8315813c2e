package walkpost.fleet.shell;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Takes messages out of a connection, each behind its length in four bytes. A peer that leaves a frame unfinished for {@link #FRAME_S},
 * the first one counted from when it came, is hung up on, however it trickles; so is one that announces more than a message may have,
 * one whose message is refused, and one that has said nothing for {@link #IDLE_S}. Owned by its channel's event loop.
 */
final class Frames extends LengthFieldBasedFrameDecoder {
    static final int LENGTH = 4;
    static final int FRAME_S = 3;
    /** Longer than whoever sends keeps a connection, so that it is not closed from here while a message is on its way. */
    static final int IDLE_S = 45;

    private final Predicate<byte[]> messages;
    private final Counters counters;
    private final FrameMemory memory;
    private ScheduledFuture<?> deadline;
    private boolean onFrame;
    private boolean finished;

    Frames(Predicate<byte[]> messages, Counters counters, FrameMemory memory) {
        super(Codec.MOST + LENGTH, 0, LENGTH, 0, LENGTH);
        this.messages = messages;
        this.counters = counters;
        this.memory = memory;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) throws Exception {
        super.handlerAdded(ctx);
        onFrame = true;
        deadline(ctx, FRAME_S);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object input) throws Exception {
        finished = false;
        super.channelRead(ctx, input);
        boolean unfinished = actualReadableBytes() > 0;
        memory.hold(ctx.channel(), unfinished && ctx.channel().isOpen() ? internalBuffer().capacity() : 0);
        if (ctx.channel().isOpen() && (finished || unfinished != onFrame)) {
            onFrame = unfinished;
            deadline(ctx, unfinished ? FRAME_S : IDLE_S);
        }
    }

    @Override
    protected Object decode(ChannelHandlerContext ctx, ByteBuf in) throws Exception {
        ByteBuf frame = (ByteBuf) super.decode(ctx, in);
        if (frame != null) {
            finished = true;
            try {
                if (!messages.test(ByteBufUtil.getBytes(frame))) {
                    ctx.close();
                }
            } finally {
                frame.release();
            }
        }
        return null;
    }

    private void deadline(ChannelHandlerContext ctx, int seconds) {
        if (deadline != null) {
            deadline.cancel(false);
        }
        deadline = ctx.executor().schedule(() -> {
            if (onFrame) {
                counters.dropped("unfinished_frame");
            }
            ctx.close();
        }, seconds, TimeUnit.SECONDS);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        counters.dropped("broken_connection");
        ctx.close();
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        memory.hold(ctx.channel(), 0);
        deadline.cancel(false);
    }
}

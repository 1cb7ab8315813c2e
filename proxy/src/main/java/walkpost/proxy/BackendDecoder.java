package walkpost.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Reads a backend's answers; only requests that an answer may have a body for are ever sent, so it need not know them.
 * It is stricter than Netty's in what makes an answer, and in what ends one.
 */
final class BackendDecoder extends HttpResponseDecoder {
    private final BooleanSupplier due;
    private boolean ended;

    /**
     * Makes one.
     *
     * @param due asked before bytes are read: whether any are due. Those that are not end the connection unread
     */
    BackendDecoder(BooleanSupplier due) {
        super(Headers.DECODING);
        this.due = due;
    }

    /** Returns whether all that has come is decoded, and more may come. */
    boolean isClear() {
        return actualReadableBytes() == 0 && !ended;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
        if (due.getAsBoolean()) {
            super.channelRead(ctx, bytes);
        } else {
            ReferenceCountUtil.release(bytes);
            ctx.close();
        }
    }

    /** Notes that the backend has ended its sending, which is not said of a reset or of a close from this side. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        ended |= event instanceof ChannelInputShutdownEvent && ctx.channel().isActive();
        super.userEventTriggered(ctx, event);
    }

    /** Netty takes any close for the end of an answer without a length; here it has to be one that was read. */
    @Override
    protected void decodeLast(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (ended) {
            super.decodeLast(ctx, in, out);
        }
    }

    /** Netty takes a line like {@code no colon here} for a header named {@code no}; here it makes no answer. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        Headers.requireColon(line, start + length);
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("a length told in two ways");
    }
}

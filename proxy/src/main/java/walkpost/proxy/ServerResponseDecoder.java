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
 * Decodes a server's responses. Only requests whose response may have a body are sent to servers, so the decoder need not know the
 * request. It is stricter than Netty's decoder about what is a valid response and what ends one. Used on the event loop only.
 */
final class ServerResponseDecoder extends HttpResponseDecoder {
    private final BooleanSupplier responseExpected;
    private final HeadSize headSize = new HeadSize();
    private boolean inputShutDown;

    /**
     * Creates a decoder.
     *
     * @param responseExpected called before bytes are decoded: returns whether a response is expected. Bytes that are not expected are
     *                         dropped, and the connection is closed
     */
    ServerResponseDecoder(BooleanSupplier responseExpected) {
        super(Headers.DECODER_CONFIG);
        this.responseExpected = responseExpected;
    }

    /** Returns whether all bytes received are decoded and the server can still send more. */
    boolean isClear() {
        return actualReadableBytes() == 0 && !inputShutDown;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
        if (responseExpected.getAsBoolean()) {
            super.channelRead(ctx, bytes);
        } else {
            ReferenceCountUtil.release(bytes);
            ctx.close();
        }
    }

    /** Records that the server has shut down its output; a reset or a close from this side does not raise this event while active. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        inputShutDown |= event instanceof ChannelInputShutdownEvent && ctx.channel().isActive();
        super.userEventTriggered(ctx, event);
    }

    /**
     * Ends a response without a length only if the server's end of input was read. Netty ends it at any close, also one from this side.
     */
    @Override
    protected void decodeLast(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (inputShutDown) {
            super.decodeLast(ctx, in, out);
        }
    }

    /** Starts a response, or a body's trailers, whose fields are counted anew. */
    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        headSize.reset();
        return super.createMessage(initialLine);
    }

    /** Rejects a header line without a colon; Netty reads a line such as {@code no colon here} as a header named {@code no}. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        headSize.fieldRead();
        Headers.requireColon(line, start + length);
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("response has both Transfer-Encoding: chunked and Content-Length; expected one of them");
    }
}

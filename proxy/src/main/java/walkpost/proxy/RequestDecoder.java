package walkpost.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;

/** Netty's request decoder, which also rejects heads without a meaning, or with two, and tells when a head is incomplete. */
final class RequestDecoder extends HttpRequestDecoder {
    private final HeadSize headSize = new HeadSize();
    /** Whether the request line has been decoded and the rest of its head has not. */
    private boolean headStarted;
    /** The bytes of the reads that brought the head so far. */
    private int headReadBytes;

    RequestDecoder() {
        super(Headers.DECODER_CONFIG);
    }

    /** Returns whether bytes of an incomplete head have arrived; empty lines between requests do not count. */
    boolean isInsideHead() {
        return headStarted || actualReadableBytes() > 0;
    }

    /** Returns an estimate of the memory that an incomplete head takes; 0 if there is none. */
    int heldBytes() {
        return isInsideHead() ? headReadBytes + headSize.fieldBytes() + internalBuffer().capacity() : 0;
    }

    /** Notes that the current head is complete. */
    void headCompleted() {
        headStarted = false;
        headReadBytes = 0;
        headSize.reset();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        headReadBytes += ((ByteBuf) message).readableBytes();
        super.channelRead(ctx, message);
        if (!isInsideHead()) {
            headReadBytes = 0;
        }
    }

    @Override
    protected String splitFirstWordInitialLine(byte[] line, int start, int length) {
        headStarted = true;
        headSize.reset();
        return super.splitFirstWordInitialLine(line, start, length);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        headSize.fieldRead();
        Headers.requireColon(line, start + length);
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Transfer-Encoding and Content-Length are present; expected one of them");
    }
}

package walkpost.proxy;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;

/** Netty's decoder, where it would let pass what has no meaning, or two. */
final class RequestDecoder extends HttpRequestDecoder {
    /** Whether a first line has come, and not yet the rest of its head. */
    private boolean inHead;

    RequestDecoder() {
        super(Headers.DECODING);
    }

    /** Returns whether bytes have come of a request whose head is not whole; empty lines between requests are none. */
    boolean midway() {
        return inHead || actualReadableBytes() > 0;
    }

    /** A head is whole. */
    void headEnded() {
        inHead = false;
    }

    @Override
    protected String splitFirstWordInitialLine(byte[] line, int start, int length) {
        inHead = true;
        return super.splitFirstWordInitialLine(line, start, length);
    }

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

package walkpost.proxy;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;

/** Netty's request decoder, which also rejects heads without a meaning, or with two, and tells when a head is incomplete. */
final class RequestDecoder extends HttpRequestDecoder {
    /** Whether the request line has been decoded and the rest of its head has not. */
    private boolean headStarted;

    RequestDecoder() {
        super(Headers.DECODER_CONFIG);
    }

    /** Returns whether bytes of an incomplete head have arrived; empty lines between requests do not count. */
    boolean isInsideHead() {
        return headStarted || actualReadableBytes() > 0;
    }

    /** Notes that the current head is complete. */
    void headCompleted() {
        headStarted = false;
    }

    @Override
    protected String splitFirstWordInitialLine(byte[] line, int start, int length) {
        headStarted = true;
        return super.splitFirstWordInitialLine(line, start, length);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        Headers.requireColon(line, start + length);
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Transfer-Encoding and Content-Length are present; expected one of them");
    }
}

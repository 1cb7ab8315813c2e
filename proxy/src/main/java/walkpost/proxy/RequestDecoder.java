package walkpost.proxy;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;

/** Netty's decoder, where it would let pass what has no meaning, or two. */
final class RequestDecoder extends HttpRequestDecoder {
    RequestDecoder() {
        super(Headers.DECODING);
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

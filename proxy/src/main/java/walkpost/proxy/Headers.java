package walkpost.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** The protocol's header names, and what of a message's headers goes on to the next hop. */
final class Headers {
    static final String REQUEST_ID = "x-request-id";
    static final String REQUEST_CLASS = "x-priority-class";
    static final String TENANT = "x-tenant-id";
    static final String TIMEOUT = "x-timeout";
    static final String IDEMPOTENCY_KEY = "idempotency-key";
    static final String COST = "x-cost";
    static final String RETRIED = "x-retried";
    static final String NOT_PROCESSED = "x-not-processed";

    /** These concern one connection alone (RFC 9110, 7.6.1); the content length is set afresh by each sender. */
    private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection", "te",
            "trailer", "transfer-encoding", "upgrade", "proxy-authenticate", "proxy-authorization", "content-length",
            "expect");

    /** What one connection may have waiting to be written before it counts as busy. */
    static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(16 * 1024, 32 * 1024);
    private static final int READ_AT_ONCE = 16 * 1024;
    /** Bodies are passed on in the pieces in which they are read. */
    static final HttpDecoderConfig DECODING = new HttpDecoderConfig().setMaxChunkSize(READ_AT_ONCE);

    private Headers() { }

    /** Returns one for a connection's reads: of hundreds of connections none may take in much at a time. */
    static RecvByteBufAllocator readingLittle() {
        return new AdaptiveRecvByteBufAllocator(64, 2_048, READ_AT_ONCE);
    }

    /**
     * Returns what has been gathered of a body and its next bytes. They are copied: a small piece would keep the whole
     * of what was read with it.
     */
    static ByteBuf gather(ByteBuf body, ByteBuf next, ByteBufAllocator allocator, Buffers buffers) {
        if (!next.isReadable()) {
            return body;
        }
        buffers.hold(next.readableBytes());
        ByteBuf into = body == Unpooled.EMPTY_BUFFER ? allocator.buffer(next.readableBytes()) : body;
        return into.writeBytes(next, next.readerIndex(), next.readableBytes());
    }

    /** Returns the end of a message with those of its trailers that are for the other end. */
    static LastHttpContent last(HttpHeaders trailers) {
        if (trailers.isEmpty()) {
            return LastHttpContent.EMPTY_LAST_CONTENT;
        }
        var last = new DefaultLastHttpContent();
        copyEndToEnd(trailers, last.trailingHeaders());
        return last;
    }

    /** Netty takes a line like {@code nothing} for a header of that name; by the protocol no message has one. */
    static void requireColon(byte[] line, int nameEnd) {
        int end = nameEnd;
        while (end < line.length && (line[end] == ' ' || line[end] == '\t')) {
            end++;
        }
        if (end == line.length || line[end] != ':') {
            throw new IllegalArgumentException("a header line without a colon");
        }
    }

    static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        boolean named = from.contains(HttpHeaderNames.CONNECTION);
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey();
            if (!HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT))
                    && !(named && from.containsValue(HttpHeaderNames.CONNECTION, name, true))) {
                to.add(name, header.getValue());
            }
        }
    }
}

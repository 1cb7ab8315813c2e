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

/** Names of the request protocol's headers, and helpers for copying, decoding and buffering the messages of one hop. */
final class Headers {
    static final String REQUEST_ID = "x-request-id";
    static final String REQUEST_CLASS = "x-priority-class";
    static final String TENANT = "x-tenant-id";
    static final String TIMEOUT = "x-timeout";
    static final String IDEMPOTENCY_KEY = "idempotency-key";
    static final String COST = "x-cost";
    static final String RETRIED = "x-retried";
    static final String NOT_PROCESSED = "x-not-processed";

    /** Headers that apply to a single connection (RFC 9110, 7.6.1), and the content length, which each sender sets anew. */
    private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection", "te",
            "trailer", "transfer-encoding", "upgrade", "proxy-authenticate", "proxy-authorization", "content-length",
            "expect");

    /** A connection becomes unwritable above the upper limit of unwritten bytes, and writable again below the lower one. */
    static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(16 * 1024, 32 * 1024);
    private static final int MAX_READ_BYTES = 16 * 1024;
    /** Chunks are as large as a read, so that bodies are relayed in the pieces in which they are read. */
    static final HttpDecoderConfig DECODER_CONFIG = new HttpDecoderConfig().setMaxChunkSize(MAX_READ_BYTES);

    private Headers() { }

    /** Returns an allocator for a connection's read buffers that keeps single reads small, because there are hundreds of connections. */
    static RecvByteBufAllocator readBufferAllocator() {
        return new AdaptiveRecvByteBufAllocator(64, 2_048, MAX_READ_BYTES);
    }

    /** Returns the same for a client's connection, which gets one read in each turn of the loop, however much it sends. */
    static RecvByteBufAllocator clientReadBufferAllocator() {
        return new AdaptiveRecvByteBufAllocator(64, 2_048, MAX_READ_BYTES).maxMessagesPerRead(1);
    }

    /**
     * Appends the next bytes of a body to those collected so far, and returns the buffer that holds both, of which the whole capacity is
     * reserved. The bytes are copied, because a retained slice would keep the whole buffer of its read in memory.
     */
    static ByteBuf appendBody(ByteBuf body, ByteBuf next, ByteBufAllocator allocator, MemoryBudget memoryBudget) {
        if (!next.isReadable()) {
            return body;
        }
        int reservedBytes = body.capacity();
        ByteBuf target = body == Unpooled.EMPTY_BUFFER ? allocator.buffer(next.readableBytes()) : body;
        target.writeBytes(next, next.readerIndex(), next.readableBytes());
        memoryBudget.reserve(target.capacity() - reservedBytes);
        return target;
    }

    /** Returns the last content of a message, with its end-to-end trailers. */
    static LastHttpContent lastContent(HttpHeaders trailers) {
        if (trailers.isEmpty()) {
            return LastHttpContent.EMPTY_LAST_CONTENT;
        }
        var last = new DefaultLastHttpContent();
        copyEndToEnd(trailers, last.trailingHeaders());
        return last;
    }

    /** Rejects a header line without a colon, which HTTP does not allow but Netty takes for a header without a value. */
    static void requireColon(byte[] line, int nameEnd) {
        int end = nameEnd;
        while (end < line.length && (line[end] == ' ' || line[end] == '\t')) {
            end++;
        }
        if (end == line.length || line[end] != ':') {
            throw new IllegalArgumentException("header line has no colon after the header name");
        }
    }

    /** Copies all headers except the hop-by-hop ones: those of the fixed list and those that the Connection header names. */
    static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        boolean hasConnectionHeader = from.contains(HttpHeaderNames.CONNECTION);
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey();
            if (!HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT))
                    && !(hasConnectionHeader && from.containsValue(HttpHeaderNames.CONNECTION, name, true))) {
                to.add(name, header.getValue());
            }
        }
    }
}

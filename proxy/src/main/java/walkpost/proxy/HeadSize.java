package walkpost.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.Map;

/** Counts the fields of a message's head while it is decoded, and estimates what a head takes on the heap. Not thread-safe. */
final class HeadSize {
    /** The most fields of a head, as common servers have it; a field of three characters takes fifty times as much on the heap. */
    static final int MAX_FIELDS = 100;
    /** The objects of one field: its entry, and a name and a value with an array each. */
    private static final int FIELD_BYTES = 128;
    /** The objects of a head without its fields. */
    private static final int BASE_BYTES = 512;

    private int fields;

    /** Counts a field; throws if there are too many. */
    void fieldRead() {
        if (++fields > MAX_FIELDS) {
            throw new TooLongHttpHeaderException("more than " + MAX_FIELDS + " header fields");
        }
    }

    /** Starts with the next head. */
    void reset() {
        fields = 0;
    }

    /** Returns an estimate of what the fields take besides their characters. */
    int fieldBytes() {
        return fields * FIELD_BYTES;
    }

    /** Returns an estimate of what a complete head takes. */
    static int of(HttpRequest head) {
        HttpHeaders headers = head.headers();
        int bytes = BASE_BYTES + head.uri().length() + headers.size() * FIELD_BYTES;
        for (Map.Entry<String, String> field : headers) {
            bytes += field.getKey().length() + field.getValue().length();
        }
        return bytes;
    }
}

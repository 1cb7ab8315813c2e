package walkpost.lab.net;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.zip.CRC32;

/** The requests that clients have sent, as tile servers look them up: whatever comes with another id is nobody's. */
public final class Book {
    private final Map<String, Sent> sent = new ConcurrentHashMap<>();

    /** A request that a client has sent; {@code bodySize} is that of the answer. */
    public record Sent(String id, long workUs, long waitUs, int bodySize) { }

    /** Notes a request before its first byte is written. */
    public void add(Sent request) {
        sent.put(request.id(), request);
    }

    /** Returns the request of an id, or null if no client has sent it. */
    public Sent find(String id) {
        return id == null ? null : sent.get(id);
    }

    /** Returns the checksum of what has to pass a proxy unchanged. */
    public static long content(String method, String path, String key, byte[] body) {
        var crc = new CRC32();
        crc.update((method + " " + path + " " + (key == null ? "" : key) + " ").getBytes(StandardCharsets.UTF_8));
        crc.update(body);
        return crc.getValue();
    }

    /** Returns the checksum of a body. */
    public static long checksum(byte[] body) {
        var crc = new CRC32();
        crc.update(body);
        return crc.getValue();
    }
}

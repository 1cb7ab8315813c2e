package walkpost.fleet.copy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;

/** Upper estimates of the encoded size of message contents (CBOR, with field names), and the size limits for orders and entries. */
public final class MessageSizes {
    /** The limit, in bytes, for the content of one message: with its envelope, the message stays below 32 KiB. */
    public static final int MAX_MESSAGE_BYTES = 20 * 1024;
    /** The limit for the parts of an answer. A higher number comes from a malformed message, and tracking that many costs memory. */
    private static final int MAX_PARTS = 1 << 16;
    /** The limit for a topic, in bytes. */
    public static final int MAX_TOPIC_BYTES = 64;
    /** The limit for a subject, in bytes. */
    public static final int MAX_SUBJECT_BYTES = 256;
    /** The limit for the id of an order, in bytes. */
    public static final int MAX_ORDER_ID_BYTES = 64;
    /** The limit for the payload of an order, in bytes. */
    public static final int MAX_ORDER_PAYLOAD_BYTES = 4096;
    /** The limit for the payload of an entry, in bytes. */
    public static final int MAX_ENTRY_PAYLOAD_BYTES = 8192;

    private MessageSizes() { }

    /** Returns whether {@code part} is a valid number, from zero, among {@code parts} parts. */
    public static boolean isValidPart(int part, int parts) {
        return part >= 0 && part < parts && parts <= MAX_PARTS;
    }

    /** Returns the length of a text in UTF-8, in bytes; zero for null. */
    public static int utf8Length(String text) {
        if (text == null) {
            return 0;
        }
        int bytes = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            // Each half of a surrogate pair counts two bytes, because the pair takes four.
            bytes += c < 0x80 ? 1 : c < 0x800 || Character.isSurrogate(c) ? 2 : 3;
        }
        return bytes;
    }

    /** Returns an upper estimate of the encoded size of a key, in bytes. */
    static int bytesOf(Entry.Key key) {
        return 32 + utf8Length(key.topic()) + utf8Length(key.subject()) + utf8Length(key.writer());
    }

    /** Returns an upper estimate of the encoded size of an entry, in bytes. */
    public static int bytesOf(Entry entry) {
        return 72 + bytesOf(entry.key()) + utf8Length(entry.payload());
    }

    /** Returns an upper estimate of the encoded size of a key, in bytes. */
    public static int bytesOf(Order.Key key) {
        return 24 + utf8Length(key.topic()) + utf8Length(key.subject());
    }

    /** Returns an upper estimate of the encoded size of a slot, in bytes. */
    public static int bytesOf(Slot slot) {
        int bytes = 48 + bytesOf(slot.key());
        for (Order head : slot.heads()) {
            bytes += 120 + bytesOf(head.key()) + utf8Length(head.id()) + utf8Length(head.payload()) + utf8Length(head.before())
                    + utf8Length(head.issuer().name());
            bytes += head.replaces().stream().mapToInt(id -> 3 + utf8Length(id)).sum();
        }
        return bytes + slot.replaced().keySet().stream().mapToInt(id -> 12 + utf8Length(id)).sum();
    }

    /** Splits a list into parts that each fit in a message. An element that is too large for any message forms a part of its own. */
    public static <T> List<List<T>> split(List<T> elements, ToIntFunction<T> bytesOf) {
        List<List<T>> parts = new ArrayList<>();
        List<T> part = new ArrayList<>();
        int bytes = 0;
        for (T element : elements) {
            int elementBytes = bytesOf.applyAsInt(element);
            if (!part.isEmpty() && bytes + elementBytes > MAX_MESSAGE_BYTES) {
                parts.add(part);
                part = new ArrayList<>();
                bytes = 0;
            }
            part.add(element);
            bytes += elementBytes;
        }
        if (!part.isEmpty()) {
            parts.add(part);
        }
        return parts;
    }
}

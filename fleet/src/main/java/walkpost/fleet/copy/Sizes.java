package walkpost.fleet.copy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;

/** About how many bytes things take in a message (CBOR, with the names of fields), never less; and bounds on what callers give. */
public final class Sizes {
    /** What is put into one message, so that it stays below 32 KiB with all that goes around it. */
    public static final int MESSAGE = 20 * 1024;
    /** Into no more parts does an answer go; one that says so is a message gone wrong, and would cost memory by the number alone. */
    private static final int MOST_PARTS = 1 << 16;
    public static final int TOPIC = 64;
    public static final int SUBJECT = 256;
    public static final int ID = 64;
    public static final int PAYLOAD = 4096;
    /** What a fact may hold at most. */
    public static final int FACT = 8192;

    private Sizes() { }

    /** Returns whether there is such a part, from zero, among so many. */
    public static boolean part(int part, int parts) {
        return part >= 0 && part < parts && parts <= MOST_PARTS;
    }

    /** Returns the length of a text in UTF-8; one that is absent takes none. */
    public static int utf8(String text) {
        if (text == null) {
            return 0;
        }
        int bytes = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            // Each half of a surrogate pair counts two: the pair takes four.
            bytes += c < 0x80 ? 1 : c < 0x800 || Character.isSurrogate(c) ? 2 : 3;
        }
        return bytes;
    }

    static int of(Fact.Key key) {
        return 32 + utf8(key.topic()) + utf8(key.subject()) + utf8(key.writer());
    }

    public static int of(Fact fact) {
        return 72 + of(fact.key()) + utf8(fact.payload());
    }

    public static int of(Order.Key key) {
        return 24 + utf8(key.topic()) + utf8(key.subject());
    }

    public static int of(Slot slot) {
        int bytes = 48 + of(slot.key());
        for (Order head : slot.heads()) {
            bytes += 120 + of(head.key()) + utf8(head.id()) + utf8(head.payload()) + utf8(head.before()) + utf8(head.issuer().name());
            bytes += head.replaces().stream().mapToInt(id -> 3 + utf8(id)).sum();
        }
        return bytes + slot.replaced().keySet().stream().mapToInt(id -> 12 + utf8(id)).sum();
    }

    /** Cuts a list so that each part fits a message; one entry that does not fits none and goes alone. */
    public static <T> List<List<T>> parts(List<T> all, ToIntFunction<T> size) {
        List<List<T>> parts = new ArrayList<>();
        List<T> part = new ArrayList<>();
        int bytes = 0;
        for (T each : all) {
            int more = size.applyAsInt(each);
            if (!part.isEmpty() && bytes + more > MESSAGE) {
                parts.add(part);
                part = new ArrayList<>();
                bytes = 0;
            }
            part.add(each);
            bytes += more;
        }
        if (!part.isEmpty()) {
            parts.add(part);
        }
        return parts;
    }
}

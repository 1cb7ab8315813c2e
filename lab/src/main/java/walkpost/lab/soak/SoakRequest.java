package walkpost.lab.soak;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * A request of a soak, as a client sends it. What its server is to do stands in the target, so that the server needs no other instructions.
 *
 * @param id the id of the request
 * @param effect the effect of its class
 * @param waitMs the time for which the client waits for the answer
 * @param bodyBytes the length of its body; 0 for none
 * @param plan what the server is to do
 */
record SoakRequest(String id, SoakSettings.Effect effect, int waitMs, int bodyBytes, ServerPlan plan) {
    /** How the end of an answer is told. */
    enum Framing { LENGTH, CHUNKED, CLOSE }

    /**
     * What a server does with a request.
     *
     * @param takeMs the time in which it reads the body, at an even pace; 0 for as fast as it can
     * @param workMs the time from the request's last byte to the answer's head
     * @param answerBytes the length of the answer's body
     * @param pieceBytes the length of each piece of the answer
     * @param firstMs the time from the head to the first piece
     * @param everyMs the time from each piece to the next
     */
    record ServerPlan(int takeMs, int workMs, int answerBytes, int pieceBytes, int firstMs, int everyMs, Framing framing) {
        /** Returns a plan for an answer that is written at once. */
        static ServerPlan quick(int workMs, int answerBytes) {
            return new ServerPlan(0, workMs, answerBytes, Math.max(1, answerBytes), 0, 0, Framing.LENGTH);
        }

        String query() {
            return "take=%d&work=%d&bytes=%d&piece=%d&first=%d&every=%d&framing=%s".formatted(takeMs, workMs, answerBytes, pieceBytes,
                    firstMs, everyMs, framing);
        }

        static ServerPlan parse(String target) {
            return new ServerPlan(number(target, "take"), number(target, "work"), number(target, "bytes"), number(target, "piece"),
                    number(target, "first"), number(target, "every"), Framing.valueOf(text(target, "framing")));
        }

        private static int number(String target, String name) {
            return Integer.parseInt(text(target, name));
        }

        private static String text(String target, String name) {
            int start = target.indexOf(name + "=");
            if (start < 0) {
                throw new IllegalArgumentException("the target '" + target + "' has no '" + name + "'");
            }
            int end = target.indexOf('&', start);
            return target.substring(start + name.length() + 1, end < 0 ? target.length() : end);
        }
    }

    /** The longest answer whose time is that of its last byte; of a longer one the first byte is timed. */
    static final int TIMED_WHOLE_BYTES = 64 * 1024;

    boolean firstByteIsTimed() {
        return plan.answerBytes > TIMED_WHOLE_BYTES;
    }

    /** Returns the head of the request. */
    byte[] head() {
        boolean safe = effect == SoakSettings.Effect.SAFE;
        var head = new StringBuilder();
        head.append(safe ? "GET" : "POST").append(" /api/tile?").append(plan.query()).append(" HTTP/1.1\r\n")
                .append("Host: tiles.internal\r\nX-Request-ID: ").append(id)
                .append("\r\nX-Priority-Class: ").append(effect.className())
                .append("\r\nX-Tenant-Id: ").append(SoakSettings.TENANT)
                .append(String.format(Locale.ROOT, "\r\nX-Timeout: %dm\r\n", waitMs));
        if (effect == SoakSettings.Effect.KEYED) {
            head.append("Idempotency-Key: k").append(id).append("\r\n");
        }
        if (!safe) {
            head.append("Content-Length: ").append(bodyBytes).append("\r\n");
        }
        return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns the byte of an answer's body at a position, which differs from request to request. */
    static byte answerByte(String id, int position) {
        return (byte) ('a' + Math.floorMod(id.hashCode() + position * 7, 26));
    }

    /** Returns a part of the answer's body that belongs to a request. */
    static byte[] answer(String id, int from, int to) {
        byte[] part = new byte[to - from];
        for (int i = 0; i < part.length; i++) {
            part[i] = answerByte(id, from + i);
        }
        return part;
    }
}

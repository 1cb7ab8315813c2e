package walkpost.fleet.shell;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Messages as bytes: a byte with the format, an HMAC-SHA256 (RFC 2104, FIPS 180-4) over that byte and all that follows, and an
 * {@link Envelope} as CBOR (RFC 8949). The format stands outside, so that a later one may do all else in another way. Unknown fields are
 * passed over, as a later version of the program may add some; what is not understood is counted by its cause and dropped. Any thread
 * may call.
 */
final class Codec {
    static final int FORMAT = 1;
    /** Bytes; no message is longer. The machines keep theirs far below. */
    static final int MOST = 1 << 20;
    private static final String ALGORITHM = "HmacSHA256";
    private static final int MAC = 32;
    private static final int HEAD = 1 + MAC;
    private static final int MOST_NESTED = 32;
    /** All members of a process share these, which know nothing of a cluster. */
    private static final CBORMapper MAPPER = mapper();
    private static final ObjectWriter WRITER = MAPPER.writerFor(Envelope.class);
    private static final ObjectReader READER = MAPPER.readerFor(Envelope.class);

    private final String cluster;
    private final int shards;
    private final Counters counters;
    /** A Mac has a state of its own, and making one costs more than a short message does. */
    private final ThreadLocal<Mac> macs;

    Codec(String cluster, int shards, Secret secret, Counters counters) {
        this.cluster = cluster;
        this.shards = shards;
        this.counters = counters;
        var key = new SecretKeySpec(secret.bytes(), ALGORITHM);
        macs = ThreadLocal.withInitial(() -> mac(key));
    }

    private static CBORMapper mapper() {
        return CBORMapper.builder(CBORFactory.builder().streamReadConstraints(StreamReadConstraints.builder()
                .maxNestingDepth(MOST_NESTED).maxStringLength(MOST).maxDocumentLength(MOST).build()).build())
                .disable(MapperFeature.AUTO_DETECT_IS_GETTERS).disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();
    }

    private static Mac mac(SecretKeySpec key) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            return mac;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every JDK has " + ALGORITHM, e);
        }
    }

    /**
     * Returns a message as bytes, or null, counted, where it is longer than any may be.
     *
     * @throws IllegalArgumentException if it can't be written, which is a defect
     */
    byte[] encode(Envelope envelope) {
        byte[] body;
        try {
            body = WRITER.writeValueAsBytes(envelope);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("a message that can't be written", e);
        }
        if (HEAD + body.length > MOST) {
            counters.dropped("too_long");
            return null;
        }
        byte[] message = new byte[HEAD + body.length];
        message[0] = FORMAT;
        System.arraycopy(body, 0, message, HEAD, body.length);
        System.arraycopy(code(message), 0, message, 1, MAC);
        return message;
    }

    private byte[] code(byte[] message) {
        Mac mac = macs.get();
        mac.update(message, 0, 1);
        mac.update(message, HEAD, message.length - HEAD);
        return mac.doFinal();
    }

    /** Returns what the bytes say, or null, counted, where they are not from this cluster's members or not understood. */
    Envelope decode(byte[] message) {
        String cause = cause(message);
        if (cause == null) {
            try {
                Envelope envelope = READER.readValue(message, HEAD, message.length - HEAD);
                cause = cause(envelope);
                if (cause == null) {
                    return envelope;
                }
            } catch (IOException | RuntimeException e) {
                cause = "not_understood";
            }
        }
        counters.dropped(cause);
        return null;
    }

    private String cause(byte[] message) {
        if (message.length <= HEAD || message.length > MOST) {
            return "no_message";
        }
        if (message[0] != FORMAT) {
            return "unknown_format";
        }
        return MessageDigest.isEqual(code(message), Arrays.copyOfRange(message, 1, HEAD)) ? null : "not_authentic";
    }

    private String cause(Envelope envelope) {
        if (envelope == null || envelope.cluster() == null) {
            return "not_understood";
        }
        if (!envelope.cluster().equals(cluster)) {
            return "other_cluster";
        }
        if (!envelope.complete()) {
            return "not_understood";
        }
        return envelope.shards() == shards ? null : "other_shards";
    }
}

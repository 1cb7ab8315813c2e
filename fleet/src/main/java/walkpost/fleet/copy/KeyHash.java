package walkpost.fleet.copy;

import net.openhft.hashing.LongHashFunction;

/** Hashes keys, to find their shard and their leaf in its hash trees. The hash is XXH3, which is the same on all machines and versions. */
public final class KeyHash {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private KeyHash() { }

    /** Returns the number of the shard, from zero, of a topic and subject. Entries of all writers on one subject are in the same shard. */
    public static int shardOf(String topic, String subject, int shards) {
        return (int) Long.remainderUnsigned(hash(topic, subject), shards);
    }

    /** Returns the hash of a list of words. */
    public static long hash(String... words) {
        StringBuilder text = new StringBuilder(64);
        for (String word : words) {
            // The length precedes each word, so that different lists give different texts. A null word differs from an empty one.
            text.append(word == null ? -1 : word.length()).append(':').append(word == null ? "" : word);
        }
        return HASH.hashChars(text);
    }
}

package walkpost.fleet.copy;

import net.openhft.hashing.LongHashFunction;

/** Where a key lies: its shard, and its bucket in the shard's trees. The hash is xx3, the same on all machines and versions. */
public final class Shards {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private Shards() { }

    /** Returns the shard, from zero, of a topic's subject; facts of all writers on one subject lie together. */
    public static int of(String topic, String subject, int shards) {
        return (int) Long.remainderUnsigned(hash(topic, subject), shards);
    }

    /** Returns the hash of some words, each kept apart from the next. */
    public static long hash(String... words) {
        StringBuilder text = new StringBuilder(64);
        for (String word : words) {
            // The length goes in front: no two lists of words make one text. A word may be absent, which differs from an empty one.
            text.append(word == null ? -1 : word.length()).append(':').append(word == null ? "" : word);
        }
        return HASH.hashChars(text);
    }
}

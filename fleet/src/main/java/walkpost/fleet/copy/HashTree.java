package walkpost.fleet.copy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Hashes of a set of entries: a root over 16 nodes of 16 leaves each, as in Dynamo's anti-entropy (DeCandia et al. 2007, 4.7). It is
 * kept up with each change: a leaf's hash is the exclusive or of its entries', so that order does not matter, and a node's that of
 * its leaves'. Owns the hashes of entries.
 */
public final class HashTree<K> {
    public static final int WIDTH = 16;

    private final List<Map<K, Long>> leaves = new ArrayList<>();
    private final long[] hashes = new long[WIDTH * WIDTH];

    public HashTree() {
        for (int i = 0; i < WIDTH * WIDTH; i++) {
            leaves.add(new LinkedHashMap<>());
        }
    }

    /** Puts an entry in, or its new content. Keys' upper bits choose the leaf, as the lower ones have chosen the shard. */
    public void put(K key, long keyHash, long content) {
        int leaf = (int) (keyHash >>> 56);
        long hash = entry(keyHash, content);
        Long before = leaves.get(leaf).put(key, hash);
        hashes[leaf] ^= hash ^ (before == null ? 0 : before);
    }

    /** Takes an entry out, if it is there. */
    public void remove(K key, long keyHash) {
        int leaf = (int) (keyHash >>> 56);
        Long before = leaves.get(leaf).remove(key);
        hashes[leaf] ^= before == null ? 0 : before;
    }

    /** Returns the hash of everything. */
    public long root() {
        long root = 0;
        for (int leaf = 0; leaf < hashes.length; leaf++) {
            root ^= mix(hashes[leaf] + leaf);
        }
        return root;
    }

    /** Returns the hashes of the 16 nodes. */
    public long[] nodes() {
        long[] nodes = new long[WIDTH];
        for (int leaf = 0; leaf < hashes.length; leaf++) {
            nodes[leaf / WIDTH] ^= mix(hashes[leaf] + leaf);
        }
        return nodes;
    }

    /** Returns the hashes of a node's 16 leaves. */
    public long[] leaves(int node) {
        long[] under = new long[WIDTH];
        System.arraycopy(hashes, node * WIDTH, under, 0, WIDTH);
        return under;
    }

    /** Returns a leaf's entries with their hashes; a view. */
    public Map<K, Long> entries(int leaf) {
        return leaves.get(leaf);
    }

    /** Returns the hash of an entry, or null where there is none. */
    public Long hash(K key, long keyHash) {
        return leaves.get((int) (keyHash >>> 56)).get(key);
    }

    static long entry(long keyHash, long content) {
        return mix(keyHash ^ mix(content));
    }

    /** The finalizer of SplitMix64 (Steele, Lea, Flood 2014). */
    private static long mix(long bits) {
        long z = (bits ^ bits >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}

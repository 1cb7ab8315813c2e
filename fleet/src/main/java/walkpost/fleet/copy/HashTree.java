package walkpost.fleet.copy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A hash tree over a set of keys and contents, with a root over 16 nodes of 16 leaves each, for anti-entropy as in Dynamo (DeCandia et
 * al. 2007, section 4.7). Each change updates the tree at once: the hash of a leaf is the exclusive or of the hashes of its contents, so
 * that the order of changes does not matter, and the hashes of the nodes and the root are the exclusive or of the mixed hashes of the
 * leaves below them. Not thread-safe.
 *
 * @param <K> the type of the keys
 */
public final class HashTree<K> {
    /** The number of nodes below the root, and of leaves below each node. */
    public static final int WIDTH = 16;

    private final List<Map<K, Long>> leaves = new ArrayList<>();
    private final long[] hashes = new long[WIDTH * WIDTH];

    public HashTree() {
        for (int i = 0; i < WIDTH * WIDTH; i++) {
            leaves.add(new LinkedHashMap<>());
        }
    }

    /** Adds a key or updates its content. The upper bits of the key's hash select the leaf, because the lower bits select the shard. */
    public void put(K key, long keyHash, long contentHash) {
        int leaf = (int) (keyHash >>> 56);
        long hash = entryHash(keyHash, contentHash);
        Long previous = leaves.get(leaf).put(key, hash);
        hashes[leaf] ^= hash ^ (previous == null ? 0 : previous);
    }

    /** Removes a key, if it is present. */
    public void remove(K key, long keyHash) {
        int leaf = (int) (keyHash >>> 56);
        Long previous = leaves.get(leaf).remove(key);
        hashes[leaf] ^= previous == null ? 0 : previous;
    }

    /** Returns the hash of the whole tree. */
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
        long[] leafHashes = new long[WIDTH];
        System.arraycopy(hashes, node * WIDTH, leafHashes, 0, WIDTH);
        return leafHashes;
    }

    /** Returns a view of the keys of a leaf with their hashes. */
    public Map<K, Long> entries(int leaf) {
        return leaves.get(leaf);
    }

    /** Returns the hash of a key and its content, or null if the key is not present. */
    public Long hash(K key, long keyHash) {
        return leaves.get((int) (keyHash >>> 56)).get(key);
    }

    static long entryHash(long keyHash, long contentHash) {
        return mix(keyHash ^ mix(contentHash));
    }

    /** Mixes the bits of a hash with the finalizer of SplitMix64 (Steele, Lea, Flood 2014). */
    private static long mix(long bits) {
        long z = (bits ^ bits >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}

package walkpost.fleet.member;

import java.util.Arrays;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * Hashes of the living members, one for each bucket of names, which two members compare before either sends its full state. In a fleet of
 * hundreds the states are nearly always equal, and otherwise they differ in a few names only. Stateless.
 */
final class Digest {
    /** The digests of 64 buckets fit into a datagram together with the rest of the message. */
    static final int BUCKETS = 64;
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private Digest() { }

    /** Returns the bucket of a name. */
    static int bucketOf(String name) {
        return (int) (HASH.hashChars(name) >>> 58);
    }

    /**
     * Returns the digest of each bucket over the names, incarnations and states of these members. The order of the members does not
     * matter.
     */
    static List<Integer> of(Collection<Member> living) {
        int[] digests = new int[BUCKETS];
        for (Member member : living) {
            String name = member.life().name();
            digests[bucketOf(name)] ^= (int) LongHashFunction.xx3(HASH.hashChars(name))
                    .hashLong(2 * member.life().incarnation() + (member.standing() == Standing.SUSPECT ? 1 : 0));
        }
        return Arrays.stream(digests).boxed().toList();
    }

    /** Returns the buckets whose digests differ, or none if the received list has another length than {@link #BUCKETS}. */
    static BitSet differingBuckets(List<Integer> own, List<Integer> received) {
        var buckets = new BitSet(BUCKETS);
        for (int i = 0; i < BUCKETS && received.size() == BUCKETS; i++) {
            buckets.set(i, !own.get(i).equals(received.get(i)));
        }
        return buckets;
    }

    /** Returns the buckets listed in a message as a set, without those out of range. Returns all buckets for null. */
    static BitSet requestedBuckets(List<Integer> buckets) {
        var requested = new BitSet(BUCKETS);
        if (buckets == null) {
            requested.set(0, BUCKETS);
            return requested;
        }
        for (int bucket : buckets) {
            if (bucket >= 0 && bucket < BUCKETS) {
                requested.set(bucket);
            }
        }
        return requested;
    }
}

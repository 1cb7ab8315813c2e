package walkpost.fleet.member;

import java.util.Arrays;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * What two members compare before either tells the other all that it knows: a hash over each bucket of those held to live. In a fleet of
 * hundreds all hold the same nearly all the time, and where they do not, it is about a few names. Pure.
 */
final class Digest {
    /** So many fit into a datagram with all that goes around them. */
    static final int BUCKETS = 64;
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private Digest() { }

    /** Returns the bucket of a name. */
    static int bucket(String name) {
        return (int) (HASH.hashChars(name) >>> 58);
    }

    /** Returns the digests of some members, by life and standing; their order does not matter. */
    static List<Integer> of(Collection<Member> living) {
        int[] digests = new int[BUCKETS];
        for (Member member : living) {
            String name = member.life().name();
            digests[bucket(name)] ^= (int) LongHashFunction.xx3(HASH.hashChars(name))
                    .hashLong(2 * member.life().incarnation() + (member.standing() == Standing.SUSPECT ? 1 : 0));
        }
        return Arrays.stream(digests).boxed().toList();
    }

    /** Returns the buckets that differ; none where the other list is not one of this length. */
    static BitSet differing(List<Integer> mine, List<Integer> theirs) {
        var buckets = new BitSet(BUCKETS);
        for (int i = 0; i < BUCKETS && theirs.size() == BUCKETS; i++) {
            buckets.set(i, !mine.get(i).equals(theirs.get(i)));
        }
        return buckets;
    }

    /** Returns buckets that came in a message as a set, those that are none left out; all of them for null. */
    static BitSet chosen(List<Integer> buckets) {
        var chosen = new BitSet(BUCKETS);
        if (buckets == null) {
            chosen.set(0, BUCKETS);
            return chosen;
        }
        for (int bucket : buckets) {
            if (bucket >= 0 && bucket < BUCKETS) {
                chosen.set(bucket);
            }
        }
        return chosen;
    }
}

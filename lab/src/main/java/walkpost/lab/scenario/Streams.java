package walkpost.lab.scenario;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A stream of random numbers for each part of a play, all from one seed: what one part draws leaves the others' draws as
 * they were, so that a fault more does not change the arrivals. The generator is xoshiro256++ (Blackman, Vigna 2019).
 */
public final class Streams {
    private final long seed;

    /** Creates the streams of a play. */
    public Streams(long seed) {
        this.seed = seed;
    }

    /** Returns the stream of a part, from its beginning. */
    public UniformRandomProvider of(String part) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest((seed + ":" + part).getBytes(StandardCharsets.UTF_8));
            long[] state = new long[4];
            ByteBuffer.wrap(digest).asLongBuffer().get(state);
            return RandomSource.XO_SHI_RO_256_PP.create(state);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every JDK has it
        }
    }

    /** Returns a figure from 0 to 1 that belongs to a pair of names, in whatever order pairs are asked for. */
    public double unit(String one, String other) {
        return RandomSource.SPLIT_MIX_64.create(seed ^ (long) one.hashCode() << 32 ^ other.hashCode()).nextDouble();
    }
}

package walkpost.lab.stats;

import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The mean difference between two sides that were played in pairs, with a percentile bootstrap interval (Efron 1979): pairs
 * are drawn anew, with replacement, as often as {@link #DRAWS}.
 *
 * @param mean of second less first
 * @param from the lower end of the 95% interval
 * @param to its upper end
 * @param pairs how many there were; with fewer than three the interval is no more than their span
 */
public record PairedDifference(double mean, double from, double to, int pairs) {
    private static final int DRAWS = 10_000;
    private static final double OUTSIDE = 0.05;

    /**
     * Compares two sides.
     *
     * @throws IllegalArgumentException if they are not as many, or none
     */
    public static PairedDifference of(double[] first, double[] second) {
        if (first.length != second.length || first.length == 0) {
            throw new IllegalArgumentException(first.length + " against " + second.length + " plays, expected pairs");
        }
        double[] differences = new double[first.length];
        for (int i = 0; i < differences.length; i++) {
            differences[i] = second[i] - first[i];
        }
        // The same pairs give the same interval.
        UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(Arrays.hashCode(differences));
        double[] means = new double[DRAWS];
        for (int draw = 0; draw < DRAWS; draw++) {
            double sum = 0;
            for (int i = 0; i < differences.length; i++) {
                sum += differences[random.nextInt(differences.length)];
            }
            means[draw] = sum / differences.length;
        }
        Arrays.sort(means);
        return new PairedDifference(Arrays.stream(differences).average().orElseThrow(), means[(int) (DRAWS * OUTSIDE / 2)],
                means[(int) (DRAWS * (1 - OUTSIDE / 2)) - 1], differences.length);
    }

    /** Returns whether the interval leaves 0 out. */
    public boolean clear() {
        return from > 0 || to < 0;
    }
}

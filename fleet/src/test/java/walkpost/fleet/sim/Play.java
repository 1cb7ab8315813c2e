package walkpost.fleet.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;

/**
 * Plays seeds of one layout, for the tests that do. {@code -Dwalkpost.seeds=100000} plays more of them, {@code -Dwalkpost.seed=123} one,
 * and {@code -Dwalkpost.trace=true} prints the last that happened in it, 80 lines or {@code -Dwalkpost.lines}.
 */
final class Play {
    private static final Integer SEEDS = Integer.getInteger("walkpost.seeds");
    private static final Long SEED = Long.getLong("walkpost.seed");
    private static final boolean TRACED = Boolean.getBoolean("walkpost.trace");

    private final Layout layout;
    private final Class<?> test;

    Play(Layout layout, Class<?> test) {
        this.layout = layout;
        this.test = test;
    }

    /** What a seed has found. */
    record Failure(long seed, Violation cause, String trace, String command) {
        @Override
        public String toString() {
            return "seed " + seed + ": " + cause.getMessage() + "\n  " + command + (trace.isEmpty() ? "" : "\n" + trace);
        }
    }

    /** Whether just one seed is asked for. */
    static boolean one() {
        return SEED != null;
    }

    /** Plays so many seeds, or those asked for, and fails with the first ten that do. */
    void all(int usual) {
        LongStream seeds = one() ? LongStream.of(SEED) : LongStream.range(0, SEEDS == null ? usual : SEEDS).parallel();
        List<String> failures = seeds.mapToObj(seed -> failure(seed, new Plant())).flatMap(Optional::stream)
                .map(Failure::toString).toList();
        String first = String.join("\n", failures.subList(0, Math.min(10, failures.size())));
        assertThat(failures.size()).as(() -> failures.size() + " failed: " + first).isZero();
    }

    /** Looks for a seed, of so many, whose oracle finds a planted fault by one of the rules that it breaks. */
    void finds(Planted planted, int seeds) {
        Optional<Failure> found = LongStream.range(0, seeds).parallel().mapToObj(seed -> failure(seed, planted.make()))
                .flatMap(Optional::stream).filter(failure -> planted.rules.contains(failure.cause.rule())).findAny();
        assertThat(found).as("a seed of %d that finds %s", seeds, planted).isPresent();
    }

    Optional<Failure> failure(long seed, Plant plant) {
        Cluster cluster = new Cluster(seed, layout, plant, TRACED);
        try {
            cluster.play();
            return Optional.empty();
        } catch (Violation e) {
            return Optional.of(new Failure(seed, e, cluster.time.trace(), "mvn -q -pl fleet test -Dtest=" + test.getSimpleName()
                    + " -Dwalkpost.trace=true -Dwalkpost.seed=" + seed));
        }
    }

    /** Returns a number that differs where two plays of a seed differed. */
    long hash(long seed) {
        Cluster cluster = new Cluster(seed, layout, new Plant(), false);
        cluster.play();
        return cluster.time.hash();
    }
}

package walkpost.fleet.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;

/**
 * Runs the simulation for seeds of one layout. {@code -Dwalkpost.seeds=100000} runs more seeds, {@code -Dwalkpost.seed=123} a single one.
 * {@code -Dwalkpost.trace=true} prints the end of the trace of a failed run: 80 lines, or {@code -Dwalkpost.lines}.
 */
final class SeedRunner {
    private static final Integer SEEDS = Integer.getInteger("walkpost.seeds");
    private static final Long SEED = Long.getLong("walkpost.seed");
    private static final boolean TRACED = Boolean.getBoolean("walkpost.trace");

    private final Layout layout;
    private final Class<?> test;

    SeedRunner(Layout layout, Class<?> test) {
        this.layout = layout;
        this.test = test;
    }

    /** The rule violation that a seed has found. */
    record Failure(long seed, Violation cause, String trace, String command) {
        @Override
        public String toString() {
            return "seed " + seed + ": " + cause.getMessage() + "\n  " + command + (trace.isEmpty() ? "" : "\n" + trace);
        }
    }

    /** Returns whether a single seed is selected. */
    static boolean runsSingleSeed() {
        return SEED != null;
    }

    /** Runs the first {@code defaultCount} seeds, or the selected ones. Fails if any seed fails, and shows the first ten failures. */
    void runAll(int defaultCount) {
        LongStream seeds = runsSingleSeed() ? LongStream.of(SEED) : LongStream.range(0, SEEDS == null ? defaultCount : SEEDS).parallel();
        List<String> failures = seeds.mapToObj(seed -> failure(seed, new FaultInjection())).flatMap(Optional::stream)
                .map(Failure::toString).toList();
        String first = String.join("\n", failures.subList(0, Math.min(10, failures.size())));
        assertThat(failures.size()).as(() -> failures.size() + " failed: " + first).isZero();
    }

    /** Asserts that with one of {@code seeds} seeds, the oracle finds a planted fault by one of the rules that the fault breaks. */
    void assertFound(PlantedFault planted, int seeds) {
        Optional<Failure> found = LongStream.range(0, seeds).parallel().mapToObj(seed -> failure(seed, planted.create()))
                .flatMap(Optional::stream).filter(failure -> planted.rules.contains(failure.cause.rule())).findAny();
        assertThat(found).as("a seed of %d that finds %s", seeds, planted).isPresent();
    }

    /** Runs a seed and returns its failure, if any. */
    Optional<Failure> failure(long seed, FaultInjection faultInjection) {
        SimulatedFleet fleet = new SimulatedFleet(seed, layout, faultInjection, TRACED);
        try {
            fleet.run();
            return Optional.empty();
        } catch (Violation e) {
            return Optional.of(new Failure(seed, e, fleet.time.trace(), "mvn -q -pl fleet test -Dtest=" + test.getSimpleName()
                    + " -Dwalkpost.trace=true -Dwalkpost.seed=" + seed));
        }
    }

    /** Runs a seed and returns a hash of the run, to find out whether two runs of the seed differ. */
    long hash(long seed) {
        SimulatedFleet fleet = new SimulatedFleet(seed, layout, new FaultInjection(), false);
        fleet.run();
        return fleet.time.hash();
    }
}

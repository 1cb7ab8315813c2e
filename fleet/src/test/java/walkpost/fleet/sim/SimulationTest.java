package walkpost.fleet.sim;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assumptions.assumeFalse;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Simulates a fleet whose members all hold replicas, under random faults; see {@link SeedRunner}. */
class SimulationTest {
    private static final int SEEDS = 2_000;
    private static final int SEEDS_PER_PLANTED_FAULT = 300;

    private final SeedRunner runner = new SeedRunner(Layout.ALL_COPY, getClass());

    @Test
    void fleetKeepsAllRulesUnderEverySeed() {
        runner.runAll(SEEDS);
    }

    /** Guards against the return of faults that these seeds once found; they lie above the seeds that each build runs. */
    @ParameterizedTest
    @ValueSource(longs = 13_024)
    void seedThatFailedBeforeKeepsAllRules(long seed) {
        assertThat(runner.failure(seed, new FaultInjection())).isEmpty();
    }

    @Test
    void twoRunsOfASeedAreEqual() {
        for (long seed = 0; seed < 5; seed++) {
            assertThat(runner.hash(seed)).isEqualTo(runner.hash(seed));
        }
    }

    @ParameterizedTest
    @MethodSource
    void oracleFindsPlantedFault(PlantedFault planted) {
        assumeFalse(SeedRunner.runsSingleSeed(), "a single selected seed is run without planted faults");
        runner.assertFound(planted, SEEDS_PER_PLANTED_FAULT);
    }

    static Stream<PlantedFault> oracleFindsPlantedFault() {
        return PlantedFault.in(Layout.ALL_COPY);
    }
}

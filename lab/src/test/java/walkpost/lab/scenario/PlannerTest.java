package walkpost.lab.scenario;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.io.IOException;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;

final class PlannerTest {
    private static final String SLOW = """
            [[faults]]
            act = "slow"
            at = "5s"
            length = "2s"
            servers = 0.25
            size = 5
            """;

    private static Plan plan(String toml, long seed) throws BadScenario {
        return Planner.plan(ScenarioReader.parse(toml), seed);
    }

    private static String written(Plan plan) throws IOException {
        var out = new StringWriter();
        plan.write(out);
        return out.toString();
    }

    @Test
    void oneSeedGivesOnePlanByteForByteAndAnotherSeedAnother() throws Exception {
        String first = written(plan(ScenarioReaderTest.SMALL, 7));
        assertThat(first).isEqualTo(written(plan(ScenarioReaderTest.SMALL, 7)));
        assertThat(first).isNotEqualTo(written(plan(ScenarioReaderTest.SMALL, 8)));
    }

    @Test
    void oneMoreFaultLeavesArrivalsServersAndOtherFaultsAsTheyWere() throws Exception {
        Plan without = plan(ScenarioReaderTest.SMALL, 7);
        Plan with = plan(ScenarioReaderTest.SMALL + SLOW, 7);
        assertThat(with.arrivals()).isEqualTo(without.arrivals());
        assertThat(with.servers()).isEqualTo(without.servers());
        assertThat(with.faults().get(0)).isEqualTo(without.faults().get(0));
        assertThat(with.faults()).hasSize(2);
    }

    @Test
    void arrivalsComeAtTheRateInTheSharesAndWithTheWorkAskedFor() throws Exception {
        Plan plan = plan(ScenarioReaderTest.SMALL.replace("10s", "200s"), 3);
        assertThat(plan.arrivals()).hasSizeBetween(19_400, 20_600);
        double orders = plan.arrivals().stream().filter(a -> a.requestClass() == 1).count() / (double) plan.arrivals().size();
        assertThat(orders).isCloseTo(0.18, within(0.01));
        double work = plan.arrivals().stream().filter(a -> a.requestClass() == 1).mapToLong(Plan.Arrival::workUs).average().orElse(0);
        assertThat(work).isCloseTo(20_000, within(1_000.0));
    }

    @Test
    void theRateRisesEvenlyWhileItIsRampedUp() throws Exception {
        Plan plan = plan(ScenarioReaderTest.SMALL.replace("10s", "100s").replace("rate = 100", "rate = 100\nramp = \"40s\""), 3);
        assertThat(plan.arrivals().stream().filter(a -> a.dueUs() < 20_000_000).count()).isBetween(450L, 550L);
        assertThat(plan.arrivals().stream().filter(a -> a.dueUs() >= 80_000_000).count()).isBetween(1_880L, 2_120L);
    }

    @Test
    void aBurstIsDrawnIntoTheArrivals() throws Exception {
        Plan plan = plan(ScenarioReaderTest.SMALL + "[[faults]]\nact = \"burst\"\nat = \"4s\"\nlength = \"2s\"\ntimes = 3\n", 3);
        long inside = plan.arrivals().stream().filter(a -> a.dueUs() >= 4_000_000 && a.dueUs() < 6_000_000).count();
        assertThat(inside).isBetween(500L, 700L);
    }

    @Test
    void aDrainedServersReplacementHasItsAddressAndAnIdOfItsOwn() throws Exception {
        Plan plan = plan(ScenarioReaderTest.SMALL
                + "[[faults]]\nact = \"drain\"\nat = \"4s\"\nlength = \"1s\"\nback = \"1s\"\nservers = [2]\n", 3);
        assertThat(plan.servers()).hasSize(5);
        assertThat(plan.servers().get(4).place()).isEqualTo(2);
        assertThat(plan.servers().get(4).comes()).isEqualTo(1);
        assertThat(plan.servers().get(4).id()).isNotEqualTo(plan.servers().get(2).id());
    }
}

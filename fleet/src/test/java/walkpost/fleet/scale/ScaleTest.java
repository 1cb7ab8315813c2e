package walkpost.fleet.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import walkpost.fleet.scale.World.Plan;

/** What a fleet of few voters and many observers costs, at two sizes, over two minutes of virtual time; the rest of Scale is for people. */
class ScaleTest {
    private static final Predicate<Host> OBSERVER = host -> !host.voter();
    private static final double MOST_BYTES_A_SECOND = 8_000;
    private static final double MOST_ORDER_MS = 12_000;
    private static final int VOTERS = 3;

    /** What came of two minutes. */
    private record Played(World world, Window window) {
        double bytes() {
            return Figures.median(window.bytes(true, OBSERVER)) + Figures.median(window.bytes(false, OBSERVER));
        }
    }

    private static Played play(int observers, long seed) {
        World world = new World(new Plan(VOTERS, observers, true, 0.001, seed, 300));
        world.start(world.hosts(), 5 * Agenda.S);
        List<Host> writers = world.hosts().stream().filter(OBSERVER).toList();
        new Writers(world, Agenda.S).start(writers);
        world.agenda().play(60 * Agenda.S);
        Operators operators = new Operators(world, OBSERVER);
        Window window = new Window(world);
        operators.start(0.2);
        world.agenda().play(30 * Agenda.S);
        operators.stop();
        world.agenda().play(30 * Agenda.S + Agenda.S);
        return new Played(world, window.end());
    }

    @Test
    void observersBytesDoNotGrowWithTheFleetAndOrdersAreSoonInForce() {
        Played small = play(24, 1);
        Played large = play(96, 1);

        assertThat(large.bytes()).isBetween(0.8 * small.bytes(), 1.2 * small.bytes());
        for (Played played : List.of(small, large)) {
            assertThat(played.world.running(host -> true)).allMatch(host -> host.process().level());
            for (boolean outward : new boolean[] {true, false}) {
                assertThat(played.window.bytes(outward, OBSERVER)).allMatch(rate -> rate < MOST_BYTES_A_SECOND);
            }
            List<Orders.Outcome> outcomes = played.world.orders().outcomes(0, Long.MAX_VALUE);
            assertThat(outcomes).hasSizeGreaterThan(2).allSatisfy(outcome -> {
                assertThat(outcome.refused()).isNull();
                assertThat(outcome.missing()).isZero();
                assertThat(outcome.allMs()).isLessThan(MOST_ORDER_MS);
            });
        }
    }

    @Test
    void seedIsPlayedTheSameWayTwice() {
        World one = play(24, 7).world;
        World other = play(24, 7).world;

        assertThat(other.traffic().fingerprint()).isEqualTo(one.traffic().fingerprint());
        assertThat(other.agenda().planned()).isEqualTo(one.agenda().planned());
    }
}

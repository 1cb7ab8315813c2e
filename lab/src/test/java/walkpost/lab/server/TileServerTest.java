package walkpost.lab.server;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import walkpost.lab.server.TileServer.End;
import walkpost.lab.server.TileServer.Finished;
import walkpost.lab.server.TileServer.Job;
import walkpost.lab.server.TileServer.Machine;

final class TileServerTest {
    private static final long SECOND = 1_000_000;

    private static Machine machine(int cores, double speed, int slots, int room) {
        return new Machine(cores, speed, slots, room, 0.2, 10 * SECOND, true, 3, SECOND);
    }

    private static Job job(String id, long work, long wait) {
        return new Job(id, work, wait, false);
    }

    private static List<Finished> run(TileServer server, long until) {
        var all = new ArrayList<Finished>();
        for (long next = server.nextUs(); next <= until; next = server.nextUs()) {
            server.advance(next);
            all.addAll(server.take());
        }
        server.advance(until);
        all.addAll(server.take());
        return all;
    }

    @Test
    void aLoneRequestTakesItsWorkAtTheSpeedOfACoreAndThenItsWait() {
        var server = new TileServer(machine(1, 0.5, 4, 4), 0, false);
        assertThat(server.arrive(0, job("a", 10_000, 5_000), 10_000)).isTrue();
        assertThat(run(server, SECOND)).singleElement().satisfies(f -> {
            assertThat(f.end()).isEqualTo(End.SERVED);
            assertThat(f.atUs()).isCloseTo(25_000, within(2L));
        });
    }

    @Test
    void requestsInWorkShareTheCoreEvenly() {
        var server = new TileServer(machine(1, 1, 4, 4), 0, false);
        server.arrive(0, job("short", 10_000, 0), 10_000);
        server.arrive(0, job("long", 30_000, 0), 30_000);
        List<Finished> ended = run(server, SECOND);
        // Both get half until the short one has its 10 ms, at 20 ms; the long one is then alone with the 20 ms it lacks.
        assertThat(ended.get(0).job().id()).isEqualTo("short");
        assertThat(ended.get(0).atUs()).isCloseTo(20_000, within(3L));
        assertThat(ended.get(1).atUs()).isCloseTo(40_000, within(3L));
    }

    @Test
    void whatFindsNeitherSlotNorRoomIsTurnedAway() {
        var server = new TileServer(machine(1, 1, 1, 1), 0, false);
        assertThat(server.arrive(0, job("in work", 10_000, 0), 10_000)).isTrue();
        assertThat(server.arrive(0, job("in the room", 10_000, 0), 10_000)).isTrue();
        assertThat(server.arrive(0, job("outside", 10_000, 0), 10_000)).isFalse();
        assertThat(run(server, SECOND)).extracting(f -> f.job().id()).containsExactly("in work", "in the room");
    }

    @Test
    void aSlowServerTakesSoManyTimesAsLongFromThenOn() {
        var server = new TileServer(machine(1, 1, 4, 4), 0, false);
        server.arrive(0, job("a", 20_000, 0), 20_000);
        server.slowDown(10_000, 4);
        assertThat(run(server, SECOND)).singleElement().satisfies(f -> assertThat(f.atUs()).isCloseTo(50_000, within(3L)));
    }

    @Test
    void aColdServerWarmsUpByTime() {
        var server = new TileServer(machine(1, 1, 4, 4), 0, true);
        assertThat(server.warmth(0)).isEqualTo(0.2);
        assertThat(server.warmth(5 * SECOND)).isCloseTo(0.6, within(1e-9));
        assertThat(server.warmth(10 * SECOND)).isEqualTo(1);
        server.arrive(0, job("a", 20_000, 0), 20_000);
        // A fifth of a core, a little more by and by: 100 ms less what it has warmed up in them.
        assertThat(run(server, SECOND)).singleElement().satisfies(f -> assertThat(f.atUs()).isBetween(97_000L, 99_500L));
    }

    @Test
    void aColdServerFallsOverWhenSentMoreThanItsMultipleAndAWarmOneDoesNot() {
        var cold = new TileServer(machine(1, 1, 4, 4), 0, true);
        var warm = new TileServer(machine(1, 1, 4, 4), 0, false);
        // 0.2 x 3 = 0.6 s of work in a second is the most, and a tenth of slack.
        for (int i = 0; i < 12; i++) {
            cold.arrive(i * 1_000, job("c" + i, 50_000, 0), 50_000);
            warm.arrive(i * 1_000, job("w" + i, 50_000, 0), 50_000);
        }
        assertThat(cold.fallen()).isFalse();
        cold.arrive(13_000, job("c", 70_000, 0), 70_000);
        warm.arrive(13_000, job("w", 70_000, 0), 70_000);
        assertThat(cold.fallen()).isTrue();
        assertThat(cold.arrive(14_000, job("after", 1, 0), 1)).isFalse();
        assertThat(warm.fallen()).isFalse();
    }

    @Test
    void workGoesOnWhenTheProxyLeavesButWhatWaitsIsDropped() {
        var server = new TileServer(machine(1, 1, 1, 4), 0, false);
        Job working = job("working", 10_000, 0);
        Job queued = job("queued", 10_000, 0);
        server.arrive(0, working, 10_000);
        server.arrive(0, queued, 10_000);
        server.leave(1_000, working);
        server.leave(1_000, queued);
        assertThat(run(server, SECOND)).extracting(f -> f.job().id()).containsExactly("working");
    }

    @Test
    void aFailingRequestEndsAtOnceAndCostsNothing() {
        var server = new TileServer(machine(1, 1, 4, 4), 0, false);
        var failing = new Job("a", 10_000, 0, true);
        server.arrive(5, failing, 10_000);
        assertThat(server.take()).containsExactly(new Finished(failing, End.ERROR, 5));
        assertThat(server.servedUs()).isZero();
    }
}

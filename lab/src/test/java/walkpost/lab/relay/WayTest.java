package walkpost.lab.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import walkpost.lab.scenario.Streams;

/** A way on a clock that the test sets. */
final class WayTest {
    private static final int MANY = 20_000;

    private static Way way(Conditions conditions) {
        return new Way(conditions, new Streams(7).of("way"));
    }

    @Test
    void lossAndDuplicationAreTheSharesAskedFor() {
        Way way = way(new Conditions(0, 0, 0, 0.2, 0.1));
        int[] copies = IntStream.range(0, MANY).map(i -> way.datagram(i, 100).size()).toArray();
        assertThat(IntStream.of(copies).filter(n -> n == 0).count()).isCloseTo(MANY / 5L, within(250L));
        assertThat(IntStream.of(copies).filter(n -> n == 2).count()).isCloseTo(MANY * 8 / 100L, within(200L));
    }

    @Test
    void jitterLetsDatagramsOvertakeEachOtherButKeepsAStreamInOrder() {
        var conditions = new Conditions(1_000, 900, 0, 0, 0);
        Way datagrams = way(conditions);
        Way stream = way(conditions);
        var came = new ArrayList<Long>();
        var pieces = new ArrayList<Long>();
        for (int i = 0; i < 200; i++) {
            came.addAll(datagrams.datagram(i * 10, 100));
            pieces.add(stream.piece(i * 10, 100));
        }
        assertThat(came).allSatisfy(at -> assertThat(at).isBetween(100L, 3_890L));
        assertThat(came).isNotEqualTo(came.stream().sorted().toList());
        assertThat(pieces).isSorted();
    }

    @Test
    void bandwidthLetsOnePieceThroughAfterTheOther() {
        Way way = way(new Conditions(500, 0, 1_000_000, 0, 0));
        assertThat(way.piece(0, 1_000)).isEqualTo(1_500);
        assertThat(way.piece(0, 2_000)).isEqualTo(3_500);
        assertThat(way.piece(10_000, 1)).isEqualTo(10_501);
        assertThat(way.datagram(10_000, 1_000)).containsExactly(11_501L);
    }

    @Test
    void aSilenceLosesDatagramsAndLeavesTheFateOfLaterOnes() {
        var conditions = new Conditions(100, 90, 0, 0.3, 0.3);
        Way quiet = way(conditions);
        Way other = way(conditions);
        quiet.silence(true);
        assertThat(IntStream.range(0, 50).mapToObj(i -> quiet.datagram(i, 10))).allMatch(List::isEmpty);
        IntStream.range(0, 50).forEach(i -> other.datagram(i, 10));
        quiet.silence(false);
        assertThat(IntStream.range(50, 100).mapToObj(i -> quiet.datagram(i, 10)).toList())
                .isEqualTo(IntStream.range(50, 100).mapToObj(i -> other.datagram(i, 10)).toList());
    }

    @Test
    void conditionsThatNoWayHasAreRefused() {
        assertThatThrownBy(() -> new Conditions(0, 0, 0, 1.1, 0)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new Conditions(-1, 0, 0, 0, 0)).isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void otherConditionsHoldForWhatIsHandedInFromThenOn() {
        Way way = way(Conditions.IDEAL);
        assertThat(way.datagram(0, 100)).containsExactly(0L);
        way.become(new Conditions(500, 0, 0, 0, 1));
        assertThat(way.datagram(10, 100)).containsExactly(510L, 510L);
        way.become(new Conditions(0, 0, 0, 1, 0));
        assertThat(way.datagram(20, 100)).isEmpty();
    }
}

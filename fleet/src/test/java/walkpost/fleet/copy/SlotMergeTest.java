package walkpost.fleet.copy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BinaryOperator;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import walkpost.fleet.member.Life;

/** Tests that the join of slots satisfies the laws of a semilattice, keeps all rivals, and never restores a replaced order. */
class SlotMergeTest {
    private static final Order.Key KEY = new Order.Key("placement", "l1");

    /**
     * Returns replicas of one slot after a random history with rivals, each of which has seen some of the orders. Long histories exceed
     * the number of replaced ids that a slot lists.
     */
    private static List<Slot> replicas(long seed, int orders, int count) {
        Random random = new Random(seed);
        List<Order> history = new ArrayList<>();
        List<Slot> issuers = new ArrayList<>(List.of(Slot.empty(KEY), Slot.empty(KEY)));
        for (int i = 0; i < orders; i++) {
            int at = random.nextInt(2);
            Order order = order("o" + (i * 7919 + 13) % 1009, issuers.get(at), random.nextInt(4) == 0 ? null : "p" + i);
            history.add(order);
            issuers.set(at, SlotMerge.withOrder(issuers.get(at), order));
            if (random.nextInt(8) == 0) {
                Slot both = SlotMerge.join(issuers.get(0), issuers.get(1));
                issuers.set(random.nextInt(2), both);
            }
        }
        List<Slot> replicas = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Slot replica = Slot.empty(KEY);
            double share = random.nextDouble();
            for (Order order : history) {
                replica = random.nextDouble() < share ? SlotMerge.withOrder(replica, order) : replica;
            }
            replicas.add(replica);
        }
        return replicas;
    }

    private static Order order(String id, Slot on, String payload) {
        return new Order(KEY, id, SlotMerge.nextVersion(on), SlotMerge.headIds(on), payload,
                SlotMerge.effectiveOrder(on).payload(), new Life("a", 1));
    }

    /** Returns the first law that a join breaks, or null if it keeps them all. */
    private static String brokenLaw(BinaryOperator<Slot> join, Slot a, Slot b, Slot c) {
        Slot ab = join.apply(a, b);
        if (!ab.equals(join.apply(b, a))) {
            return "commutative";
        } else if (!join.apply(ab, c).equals(join.apply(a, join.apply(b, c)))) {
            return "associative";
        } else if (!join.apply(a, a).equals(a) || !join.apply(ab, b).equals(ab)) {
            return "idempotent";
        }
        for (Slot slot : List.of(a, b)) {
            Slot other = slot == a ? b : a;
            for (Order head : slot.heads()) {
                boolean replaced = other.replaced().containsKey(head.id()) || head.version() <= ab.floor()
                        || slot.replaced().containsKey(head.id());
                if (replaced == ab.heads().stream().anyMatch(kept -> kept.id().equals(head.id()))) {
                    return replaced ? "no replaced order comes back" : "no rival is lost";
                }
            }
        }
        return ab.floor() < Math.max(a.floor(), b.floor()) ? "the floor never falls" : null;
    }

    @Property(tries = 600, seed = "1")
    void replicasConvergeInAnyOrderOfMerges(@ForAll long seed, @ForAll @IntRange(min = 1, max = 250) int orders) {
        List<Slot> replicas = replicas(seed, orders, 3);
        assertThat(brokenLaw(SlotMerge::join, replicas.get(0), replicas.get(1), replicas.get(2))).isNull();
    }

    @Property(tries = 300, seed = "2")
    void theLatestOrderIsAlwaysAboveTheFloor(@ForAll long seed, @ForAll @IntRange(min = 1, max = 250) int orders) {
        Slot all = replicas(seed, orders, 4).stream().reduce(Slot.empty(KEY), SlotMerge::join);
        assertThat(all.hasNoHistory() || !all.heads().isEmpty()).isTrue();
        assertThat(all.replaced()).hasSizeLessThanOrEqualTo(SlotMerge.MAX_REPLACED_IDS);
        assertThat(all.heads()).allMatch(head -> head.version() > all.floor());
    }

    @Property(tries = 300, seed = "2")
    void slotsHaveEqualHashesIfAndOnlyIfTheyAreEqual(@ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int orders) {
        List<Slot> replicas = replicas(seed, orders, 2);
        assertThat(SlotMerge.hash(replicas.get(0)) == SlotMerge.hash(replicas.get(1))).isEqualTo(replicas.get(0).equals(replicas.get(1)));
    }

    static Stream<Arguments> faultyJoins() {
        BinaryOperator<Slot> lastWriterWins = (a, b) -> SlotMerge.nextVersion(a) >= SlotMerge.nextVersion(b) ? a : b;
        BinaryOperator<Slot> forgetsReplacedIds = (a, b) -> {
            Map<String, Order> heads = new TreeMap<>();
            Stream.of(a, b).flatMap(slot -> slot.heads().stream()).forEach(head -> heads.put(head.id(), head));
            return new Slot(KEY, List.copyOf(heads.values()), Map.of(), 0);
        };
        BinaryOperator<Slot> dropsHeadsOfOneSide = (a, b) -> {
            Slot both = SlotMerge.join(a, b);
            return new Slot(KEY, both.heads().stream().filter(head -> a.heads().contains(head) == b.heads().contains(head)).toList(),
                    both.replaced(), both.floor());
        };
        BinaryOperator<Slot> lowerFloor = (a, b) -> {
            Slot both = SlotMerge.join(a, b);
            return new Slot(KEY, both.heads(), both.replaced(), Math.min(a.floor(), b.floor()));
        };
        BinaryOperator<Slot> keepsHighestHeadOnly = (a, b) -> {
            Slot both = SlotMerge.join(a, b);
            Order chosen = SlotMerge.effectiveOrder(both).chosen();
            return new Slot(KEY, chosen == null ? List.of() : List.of(chosen), both.replaced(), both.floor());
        };
        return Stream.of(Arguments.of(lastWriterWins), Arguments.of(forgetsReplacedIds), Arguments.of(dropsHeadsOfOneSide),
                Arguments.of(lowerFloor), Arguments.of(keepsHighestHeadOnly));
    }

    @ParameterizedTest
    @MethodSource("faultyJoins")
    void everyFaultyJoinBreaksALaw(BinaryOperator<Slot> wrong) {
        boolean caught = false;
        for (int seed = 0; seed < 200 && !caught; seed++) {
            List<Slot> replicas = replicas(seed, 1 + seed, 3);
            caught = brokenLaw(wrong, replicas.get(0), replicas.get(1), replicas.get(2)) != null;
        }
        assertThat(caught).isTrue();
    }

    @Test
    void allReplicasChooseTheSameRivalAndKeepTheFormerPayloadInEffect() {
        Slot first = SlotMerge.withOrder(Slot.empty(KEY), order("first", Slot.empty(KEY), "1"));
        Slot one = SlotMerge.withOrder(first, order("x", first, "2"));
        Slot other = SlotMerge.withOrder(first, order("y", first, "3"));
        EffectiveOrder acting = SlotMerge.effectiveOrder(SlotMerge.join(one, other));
        assertThat(acting.payload()).isEqualTo("1");
        assertThat(acting.chosen().id()).isEqualTo("y");
        assertThat(acting.rivals()).extracting(Order::id).containsExactly("x");
    }

    @Test
    void aServerIsExcludedIfAnyRivalExcludesIt() {
        Order.Key key = new Order.Key(SlotMerge.EXCLUSION, "s1");
        Slot none = Slot.empty(key);
        Order excludes = new Order(key, "a", 1, List.of(), "{}", null, new Life("a", 1));
        Order readmits = new Order(key, "b", 2, List.of("c"), null, "{}", new Life("b", 1));
        EffectiveOrder acting = SlotMerge.effectiveOrder(SlotMerge.withOrder(SlotMerge.withOrder(none, excludes), readmits));
        assertThat(acting.chosen().id()).isEqualTo("b");
        assertThat(acting.payload()).isEqualTo("{}");
    }

    @Test
    void theJoinOfTheSplitPartsIsTheWholeSlot() {
        Slot slot = Slot.empty(KEY);
        for (int i = 0; i < 9; i++) {
            slot = SlotMerge.join(slot, new Slot(KEY, List.of(new Order(KEY, "r" + i, 7, List.of("old" + i), "x".repeat(4000), null,
                    new Life("a", 1))), Map.of(), 2));
        }
        List<Slot> parts = SlotMerge.split(slot, "r4");
        assertThat(parts).hasSize(9).allMatch(part -> MessageSizes.bytesOf(part) < MessageSizes.MAX_MESSAGE_BYTES);
        assertThat(SlotMerge.headIds(parts.get(8))).containsExactly("r4");
        assertThat(parts.stream().reduce(Slot.empty(KEY), SlotMerge::join)).isEqualTo(slot);
    }
}

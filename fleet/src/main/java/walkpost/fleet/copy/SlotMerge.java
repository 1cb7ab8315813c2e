package walkpost.fleet.copy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Pure functions on slots: the rule that merges differing replicas of a slot, and what follows from the merged state. The join is that of
 * an observed-remove set with a version vector of one component (Bieniusa et al., "An optimized conflict-free replicated set", 2012).
 * The replaced orders of a replica, {@code replaced} and all up to {@code floor}, are a set that only grows; the join removes the union
 * of both sets from the union of the heads.
 */
public final class SlotMerge {
    /** The number of replaced ids that a slot lists; older ones are covered by its floor. */
    static final int MAX_REPLACED_IDS = 64;
    /** The topic whose rivals take effect together: a server is excluded if any of them excludes it. */
    static final String EXCLUSION = "exclusion";

    private static final Comparator<String> NULL_FIRST = Comparator.nullsFirst(Comparator.naturalOrder());
    /** The order of preference among orders with the same id, which a faulty caller may give: all replicas keep the greatest. */
    private static final Comparator<Order> BY_CONTENT = Comparator.comparingLong(Order::version)
            .thenComparing(Order::payload, NULL_FIRST)
            .thenComparing(Order::before, NULL_FIRST)
            .thenComparing(order -> String.join("\n", order.replaces()))
            .thenComparing(order -> order.issuer().name())
            .thenComparingLong(order -> order.issuer().incarnation());
    /** The order of preference among rivals: all replicas choose the greatest. */
    private static final Comparator<Order> BY_VERSION_AND_ID = Comparator.comparingLong(Order::version).thenComparing(Order::id);

    private SlotMerge() { }

    /** Returns the join of two replicas of a slot. */
    public static Slot join(Slot one, Slot other) {
        TreeMap<String, Order> heads = new TreeMap<>();
        TreeMap<String, Long> replaced = new TreeMap<>();
        for (Slot slot : List.of(one, other)) {
            slot.replaced().forEach((id, upTo) -> replaced.merge(id, upTo, Math::max));
            for (Order head : slot.heads()) {
                heads.merge(head.id(), head, (a, b) -> BY_CONTENT.compare(a, b) >= 0 ? a : b);
                head.replaces().forEach(id -> replaced.merge(id, head.version() - 1, Math::max));
            }
        }
        long floor = floor(Math.max(one.floor(), other.floor()), replaced.values());
        replaced.values().removeIf(upTo -> upTo <= floor);
        heads.values().removeIf(head -> head.version() <= floor || replaced.containsKey(head.id()));
        return new Slot(one.key(), List.copyOf(heads.values()), replaced, floor);
    }

    /** Returns a slot in the form that {@link #join} returns, whatever its origin. */
    static Slot normalize(Slot slot) {
        return join(slot, Slot.empty(slot.key()));
    }

    /** Returns the slot with a decided order added. */
    public static Slot withOrder(Slot slot, Order order) {
        return join(slot, new Slot(slot.key(), List.of(order), Map.of(), 0));
    }

    /** Returns the lowest floor, from {@code floor} up, that leaves at most {@link #MAX_REPLACED_IDS} ids above it. */
    private static long floor(long floor, Collection<Long> replacedVersions) {
        return replacedVersions.stream().filter(version -> version > floor).sorted(Comparator.reverseOrder()).skip(MAX_REPLACED_IDS)
                .findFirst().orElse(floor);
    }

    /** Returns the version of an order that replaces all heads. */
    static long nextVersion(Slot slot) {
        return slot.heads().stream().mapToLong(Order::version).reduce(slot.floor(), Math::max) + 1;
    }

    /** Returns the ids of the heads, sorted. */
    static List<String> headIds(Slot slot) {
        return slot.heads().stream().map(Order::id).sorted().toList();
    }

    /** Returns the head with an id, or null if there is none. */
    public static Order findHead(Slot slot, String id) {
        return slot.heads().stream().filter(head -> head.id().equals(id)).findFirst().orElse(null);
    }

    /** Returns whether no order is in force, so that the slot holds at most the memory of a removal. */
    public static boolean isRemoved(Slot slot) {
        return slot.heads().stream().allMatch(head -> head.payload() == null);
    }

    /** Returns the order in effect, by the table in {@code docs/fleet.md}. */
    public static EffectiveOrder effectiveOrder(Slot slot) {
        if (slot.heads().isEmpty()) {
            return new EffectiveOrder(null, null, List.of());
        }
        List<Order> heads = new ArrayList<>(slot.heads());
        heads.sort(BY_VERSION_AND_ID.reversed());
        Order chosen = heads.get(0);
        if (heads.size() == 1) {
            return new EffectiveOrder(chosen.payload(), chosen, List.of());
        }
        String payload = EXCLUSION.equals(slot.key().topic())
                ? heads.stream().map(Order::payload).filter(text -> text != null).findFirst().orElse(null)
                : heads.stream().min(Comparator.comparing(Order::id)).orElseThrow().before();
        return new EffectiveOrder(payload, chosen, heads.subList(1, heads.size()));
    }

    /** Describes the orders in force, for an error message. */
    static String describe(Slot slot) {
        return switch (slot.heads().size()) {
            case 0 -> "nothing";
            case 1 -> slot.heads().get(0).id();
            default -> "rivals " + String.join(" and ", headIds(slot)) + ", to be settled by an order that replaces whatever stands";
        };
    }

    /**
     * Returns a hash of the whole content of a slot, the same for equal slots on all members. Members compare these hashes, so the text
     * that is hashed must not change; it includes {@link walkpost.fleet.member.Life#toString}.
     */
    public static long hash(Slot slot) {
        List<String> words = new ArrayList<>();
        for (Order head : slot.heads().stream().sorted(Comparator.comparing(Order::id)).toList()) {
            words.addAll(List.of(head.id(), Long.toString(head.version()), head.issuer().toString()));
            words.add(head.payload());
            words.add(head.before());
            words.add(Integer.toString(head.replaces().size()));
            words.addAll(head.replaces());
        }
        words.add(new TreeMap<>(slot.replaced()).entrySet().stream().map(Object::toString).collect(Collectors.joining("\n")));
        words.add(Long.toString(slot.floor()));
        return KeyHash.hash(words.toArray(String[]::new));
    }

    /**
     * Splits a slot whose rivals are too many for one message into slots that fit and whose join is the slot. The last part holds the
     * replaced ids, so that a receiver does not drop an order before it knows the successor, and the head with id {@code lastId} if there
     * is one.
     */
    public static List<Slot> split(Slot slot, String lastId) {
        if (slot.heads().size() < 2 || MessageSizes.bytesOf(slot) <= MessageSizes.MAX_MESSAGE_BYTES) {
            return List.of(slot);
        }
        Order lastHead = findHead(slot, lastId) == null ? slot.heads().get(0) : findHead(slot, lastId);
        List<Slot> parts = new ArrayList<>();
        slot.heads().stream().filter(head -> head != lastHead)
                .forEach(head -> parts.add(new Slot(slot.key(), List.of(head), Map.of(), 0)));
        parts.add(new Slot(slot.key(), List.of(lastHead), slot.replaced(), slot.floor()));
        return parts;
    }
}

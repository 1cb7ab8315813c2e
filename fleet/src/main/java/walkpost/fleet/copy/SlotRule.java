package walkpost.fleet.copy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The rule by which copies of a slot that differ become one, and what follows from a slot; pure. The join is that of an
 * observed-remove set with a version vector of one entry (Bieniusa et al., "An optimized conflict-free replicated set", 2012): what a
 * copy has seen end is a set that only grows, {@code replaced} and all up to {@code floor}; its union with the other's is taken off the
 * union of heads.
 */
public final class SlotRule {
    /** How many ids that are over a slot remembers one by one; older ones lie under its floor. */
    static final int REMEMBERED = 64;
    /** The topic in which rivals act together: a server is excluded if any of them excludes it. */
    static final String EXCLUSION = "exclusion";

    private static final Comparator<String> TEXT = Comparator.nullsFirst(Comparator.naturalOrder());
    /** Of two orders that a faulty or forgetful caller gave one id, all copies keep the same. */
    private static final Comparator<Order> GREATER = Comparator.comparingLong(Order::version)
            .thenComparing(Order::payload, TEXT)
            .thenComparing(Order::before, TEXT)
            .thenComparing(order -> String.join("\n", order.replaces()))
            .thenComparing(order -> order.issuer().name())
            .thenComparingLong(order -> order.issuer().incarnation());
    private static final Comparator<Order> CHOSEN = Comparator.comparingLong(Order::version).thenComparing(Order::id);

    private SlotRule() { }

    /** Returns the join of two copies of one slot. */
    public static Slot join(Slot one, Slot other) {
        TreeMap<String, Order> heads = new TreeMap<>();
        TreeMap<String, Long> replaced = new TreeMap<>();
        for (Slot slot : List.of(one, other)) {
            slot.replaced().forEach((id, upTo) -> replaced.merge(id, upTo, Math::max));
            for (Order head : slot.heads()) {
                heads.merge(head.id(), head, (a, b) -> GREATER.compare(a, b) >= 0 ? a : b);
                head.replaces().forEach(id -> replaced.merge(id, head.version() - 1, Math::max));
            }
        }
        long floor = floor(Math.max(one.floor(), other.floor()), replaced.values());
        replaced.values().removeIf(upTo -> upTo <= floor);
        heads.values().removeIf(head -> head.version() <= floor || replaced.containsKey(head.id()));
        return new Slot(one.key(), List.copyOf(heads.values()), replaced, floor);
    }

    /** Returns a slot in the form that {@link #join} gives, whoever made it up. */
    static Slot normal(Slot slot) {
        return join(slot, Slot.empty(slot.key()));
    }

    /** Returns the slot once an order is decided in it. */
    public static Slot with(Slot slot, Order order) {
        return join(slot, new Slot(slot.key(), List.of(order), Map.of(), 0));
    }

    /** The floor that leaves no more than {@link #REMEMBERED} ids above it. */
    private static long floor(long floor, Collection<Long> upTo) {
        return upTo.stream().filter(version -> version > floor).sorted(Comparator.reverseOrder()).skip(REMEMBERED).findFirst()
                .orElse(floor);
    }

    /** Returns the version of an order that replaces all that stands. */
    static long next(Slot slot) {
        return slot.heads().stream().mapToLong(Order::version).reduce(slot.floor(), Math::max) + 1;
    }

    /** Returns the ids of the heads, in order. */
    static List<String> ids(Slot slot) {
        return slot.heads().stream().map(Order::id).sorted().toList();
    }

    /** Returns the head with this id, or null. */
    public static Order head(Slot slot, String id) {
        return slot.heads().stream().filter(head -> head.id().equals(id)).findFirst().orElse(null);
    }

    /** Returns whether nothing stands, so that all that is held is the memory of a removal. */
    public static boolean removed(Slot slot) {
        return slot.heads().stream().allMatch(head -> head.payload() == null);
    }

    /** Returns what to act on: see the table in {@code docs/fleet.md}. */
    public static Acting acting(Slot slot) {
        if (slot.heads().isEmpty()) {
            return new Acting(null, null, List.of());
        }
        List<Order> heads = new ArrayList<>(slot.heads());
        heads.sort(CHOSEN.reversed());
        Order chosen = heads.get(0);
        if (heads.size() == 1) {
            return new Acting(chosen.payload(), chosen, List.of());
        }
        String payload = EXCLUSION.equals(slot.key().topic())
                ? heads.stream().map(Order::payload).filter(text -> text != null).findFirst().orElse(null)
                : heads.stream().min(Comparator.comparing(Order::id)).orElseThrow().before();
        return new Acting(payload, chosen, heads.subList(1, heads.size()));
    }

    /** Returns what stands, for the text of an error. */
    static String words(Slot slot) {
        return switch (slot.heads().size()) {
            case 0 -> "nothing";
            case 1 -> slot.heads().get(0).id();
            default -> "rivals " + String.join(" and ", ids(slot)) + ", to be settled by an order that replaces whatever stands";
        };
    }

    /** Returns a hash of all that a slot holds, the same for equal slots on all members. */
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
        return Shards.hash(words.toArray(String[]::new));
    }

    /**
     * Returns slots whose join is this one, each small enough for a message: rivals may be too many for one. What is over comes in
     * the last part, with the head of this id if there is one, so that nothing is taken for over before its successor is known.
     */
    public static List<Slot> parts(Slot slot, String last) {
        if (slot.heads().size() < 2 || Sizes.of(slot) <= Sizes.MESSAGE) {
            return List.of(slot);
        }
        Order end = head(slot, last) == null ? slot.heads().get(0) : head(slot, last);
        List<Slot> parts = new ArrayList<>();
        slot.heads().stream().filter(head -> head != end)
                .forEach(head -> parts.add(new Slot(slot.key(), List.of(head), Map.of(), 0)));
        parts.add(new Slot(slot.key(), List.of(end), slot.replaced(), slot.floor()));
        return parts;
    }
}

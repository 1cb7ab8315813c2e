package walkpost.fleet.member;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;

/**
 * The order in which members are pinged: round-robin, with a new random order for each round. A member that joins is inserted at a random
 * position, so that each member is pinged at least once in twice as many periods as there are members (SWIM, section 4.3). Owned by
 * one {@link Membership}; not thread-safe.
 */
final class ProbeSchedule {
    private final UniformRandomProvider random;
    private final MemberTable members;
    private final List<String> order = new ArrayList<>();
    private int nextIndex;

    ProbeSchedule(UniformRandomProvider random, MemberTable members) {
        this.random = random;
        this.members = members;
    }

    void add(String name) {
        if (order.contains(name)) {
            return;
        }
        int index = random.nextInt(order.size() + 1);
        order.add(index, name);
        if (index < nextIndex) {
            nextIndex++;
        }
    }

    /** Returns the next living member, or null if there is none. */
    Member nextTarget() {
        while (true) {
            if (nextIndex >= order.size()) {
                order.clear();
                members.living().forEach(member -> order.add(member.life().name()));
                nextIndex = 0;
                if (order.isEmpty()) {
                    return null;
                }
                ListSampler.shuffle(random, order);
            }
            Member member = members.get(order.get(nextIndex++));
            if (member != null && MemberTable.isLiving(member)) {
                return member;
            }
        }
    }

    /** Returns up to {@code count} random living members other than {@code excludedName}. */
    List<Member> randomLiving(int count, String excludedName) {
        List<Member> others = new ArrayList<>(members.living());
        others.removeIf(member -> member.life().name().equals(excludedName));
        ListSampler.shuffle(random, others);
        return others.subList(0, Math.min(count, others.size()));
    }
}

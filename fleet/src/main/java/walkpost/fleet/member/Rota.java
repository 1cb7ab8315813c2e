package walkpost.fleet.member;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;

/**
 * Whose turn it is to be pinged: round after round in a new random order, newcomers at a random place of it, so that each is pinged at
 * least once in twice as many periods as there are members (SWIM, section 4.3). Owned by one {@link Membership}.
 */
final class Rota {
    private final UniformRandomProvider random;
    private final Roster roster;
    private final List<String> order = new ArrayList<>();
    private int next;

    Rota(UniformRandomProvider random, Roster roster) {
        this.random = random;
        this.roster = roster;
    }

    void add(String name) {
        if (order.contains(name)) {
            return;
        }
        int place = random.nextInt(order.size() + 1);
        order.add(place, name);
        if (place < next) {
            next++;
        }
    }

    /** Returns the next that lives, or null where nobody does. */
    Member next() {
        while (true) {
            if (next >= order.size()) {
                order.clear();
                roster.living().forEach(m -> order.add(m.life().name()));
                next = 0;
                if (order.isEmpty()) {
                    return null;
                }
                ListSampler.shuffle(random, order);
            }
            Member member = roster.get(order.get(next++));
            if (member != null && Roster.lives(member)) {
                return member;
            }
        }
    }

    /** Returns up to so many that live, at random, without the named one. */
    List<Member> some(int number, String without) {
        List<Member> others = new ArrayList<>(roster.living());
        others.removeIf(m -> m.life().name().equals(without));
        ListSampler.shuffle(random, others);
        return others.subList(0, Math.min(number, others.size()));
    }
}

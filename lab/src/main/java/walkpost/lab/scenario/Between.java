package walkpost.lab.scenario;

import java.util.ArrayList;
import java.util.List;

/**
 * What a fault does between proxies that are members of each other.
 *
 * @param groups who is parted from whom; empty where the groups are dealt out
 * @param dealt into how many groups the proxies are dealt out; 0 where {@code groups} says, or nobody is parted
 * @param to who is at the other end of the ways; empty for all
 * @param both whether the ways back are as bad
 * @param silent whether nothing passes at all
 * @param loss the share of datagrams lost
 * @param duplication the share of datagrams that come twice
 * @param latencyUs what is under way longer than without the fault
 * @param jitterUs by how much that varies, evenly
 */
public record Between(List<List<Integer>> groups, int dealt, List<Integer> to, boolean both, boolean silent, double loss,
        double duplication, long latencyUs, long jitterUs) {
    /** Copies the lists. */
    public Between {
        groups = groups.stream().map(List::copyOf).toList();
        to = List.copyOf(to);
    }

    /** Returns the groups of a fault that hits these, in the order drawn. */
    public List<List<Integer>> groups(List<Integer> hits) {
        if (dealt == 0) {
            return groups;
        }
        var all = new ArrayList<List<Integer>>();
        for (int group = 0; group < dealt; group++) {
            var members = new ArrayList<Integer>();
            for (int i = group; i < hits.size(); i += dealt) {
                members.add(hits.get(i));
            }
            all.add(members);
        }
        return all;
    }

    /** Returns whether a fault that hits these is on the way from one member to another. */
    public boolean covers(List<Integer> hits, int from, int towards) {
        if (from == towards) {
            return false;
        }
        if (dealt > 0 || !groups.isEmpty()) {
            List<List<Integer>> parted = groups(hits);
            return parted.stream().anyMatch(g -> g.contains(from)) && parted.stream().anyMatch(g -> g.contains(towards))
                    && parted.stream().noneMatch(g -> g.contains(from) && g.contains(towards));
        }
        return leads(hits, from, towards) || both && leads(hits, towards, from);
    }

    private boolean leads(List<Integer> hits, int from, int towards) {
        return hits.contains(from) && (to.isEmpty() || to.contains(towards));
    }
}

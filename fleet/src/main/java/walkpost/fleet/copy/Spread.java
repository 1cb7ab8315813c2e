package walkpost.fleet.copy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Which facts are news, and how often they have still to be told: rumour mongering with a count, after Demers et al., "Epidemic
 * algorithms for replicated database maintenance" (1987). Each member tells a fact to {@code fanOut} others at a time, and some log n
 * times in all; those whom all of it misses find it by comparing.
 */
final class Spread {
    /** With c log n tellings by each of n members, one that is told at random is missed with a chance of n to the power of -c. */
    private static final double ENOUGH = 1.5;

    private final CopySettings settings;
    private final Neighbours neighbours;
    private final Map<Fact.Key, Integer> left = new LinkedHashMap<>();

    Spread(CopySettings settings, Neighbours neighbours) {
        this.settings = settings;
        this.neighbours = neighbours;
    }

    /** A fact is news from now on, or again. */
    void add(Fact.Key key) {
        int others = neighbours.alive().size();
        left.put(key, others == 0 ? 1 : (int) Math.ceil(ENOUGH * Math.log(1 + others) / settings.fanOut()));
    }

    /** Tells one fact of this member's own to some others at once. */
    void first(long nowUs, Fact.Key key, FactBook facts, Outbox out) {
        Fact fact = facts.get(key, nowUs);
        neighbours.draw(settings.fanOut()).forEach(to -> out.send(to, new CopyMessage.Facts(false, List.of(fact))));
    }

    /** Tells all that is news to some others. */
    void round(long nowUs, FactBook facts, Outbox out) {
        if (left.isEmpty()) {
            return;
        }
        List<Fact> news = new ArrayList<>(left.keySet().stream().map(key -> facts.get(key, nowUs)).filter(Objects::nonNull).toList());
        List<List<Fact>> parts = Sizes.parts(news, Sizes::of);
        for (String to : neighbours.draw(settings.fanOut())) {
            parts.forEach(part -> out.send(to, new CopyMessage.Facts(false, part)));
        }
        left.replaceAll((key, times) -> times - 1);
        left.values().removeIf(times -> times <= 0);
    }
}

package walkpost.fleet.observe;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Counts the live observers over all voters: owns the latest counts that each other voter has sent, and the voters' regions. */
final class ObserverCensus {
    private static final long PERIOD_US = 1_000_000;

    private record ReceivedCounts(Map<String, Integer> observersByRegion, long receivedAtUs) { }

    private final ObserveSettings settings;
    private final String region;
    private final Map<String, ReceivedCounts> countsByVoter = new TreeMap<>();
    private final Map<String, String> regions = new TreeMap<>();
    private long nextUs;

    ObserverCensus(ObserveSettings settings, String self, String region) {
        this.settings = settings;
        this.region = region;
        regions.put(self, region);
    }

    /** Stores another voter's region and counts; ignores a message with a negative count. */
    void receive(long nowUs, String from, ObserveMessage.ObserverCounts counts) {
        if (counts.lives().values().stream().allMatch(count -> count >= 0)) {
            regions.put(from, counts.region() == null ? "" : counts.region());
            countsByVoter.put(from, new ReceivedCounts(counts.lives(), nowUs));
        }
    }

    /** Sends this voter's counts to the other voters, once in each period. */
    void tick(long nowUs, Set<String> otherVoters, Map<String, Integer> ownCounts, MessageSender sender) {
        if (nowUs >= nextUs) {
            nextUs = nowUs + PERIOD_US;
            var counts = new ObserveMessage.ObserverCounts(region, ownCounts);
            otherVoters.forEach(to -> sender.send(to, counts));
        }
    }

    /** Returns the regions of the voters that are known so far, by voter name. */
    Map<String, String> regions() {
        return regions;
    }

    /** Returns the number of live observers by region: this voter's own counts and those of the voters heard from lately. */
    Map<String, Integer> observersByRegion(long nowUs, Map<String, Integer> ownCounts) {
        Map<String, Integer> all = new TreeMap<>(ownCounts);
        countsByVoter.values().stream().filter(received -> nowUs - received.receivedAtUs <= settings.silenceUs())
                .forEach(received -> received.observersByRegion.forEach((name, count) -> all.merge(name, count, Integer::sum)));
        return all;
    }
}

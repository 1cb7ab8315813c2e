package walkpost.fleet.observe;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What the voters tell each other of whom they feed: owns each one's last sum, and the voters' regions. */
final class ObserverCensus {
    private static final long PERIOD_US = 1_000_000;

    private record Heard(Map<String, Integer> lives, long atUs) { }

    private final ObserveSettings settings;
    private final String region;
    private final Map<String, Heard> heard = new TreeMap<>();
    private final Map<String, String> regions = new TreeMap<>();
    private long nextUs;

    ObserverCensus(ObserveSettings settings, String self, String region) {
        this.settings = settings;
        this.region = region;
        regions.put(self, region);
    }

    void take(long nowUs, String from, ObserveMessage.Sum sum) {
        if (sum.lives().values().stream().allMatch(count -> count >= 0)) {
            regions.put(from, sum.region() == null ? "" : sum.region());
            heard.put(from, new Heard(sum.lives(), nowUs));
        }
    }

    void tick(long nowUs, Set<String> others, Map<String, Integer> own, MessageSender sender) {
        if (nowUs >= nextUs) {
            nextUs = nowUs + PERIOD_US;
            var sum = new ObserveMessage.Sum(region, own);
            others.forEach(to -> sender.send(to, sum));
        }
    }

    Map<String, String> regions() {
        return regions;
    }

    /** Returns how many observers live, by region, as the voters that were heard lately have counted. */
    Map<String, Integer> lives(long nowUs, Map<String, Integer> own) {
        Map<String, Integer> all = new TreeMap<>(own);
        heard.values().stream().filter(sum -> nowUs - sum.atUs <= settings.silenceUs())
                .forEach(sum -> sum.lives.forEach((where, count) -> all.merge(where, count, Integer::sum)));
        return all;
    }
}

package walkpost.fleet.observe;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * An observer's two voters: owns which they are, when each was heard, and how others are found. Where one is missing, all voters that
 * live are probed with a beat, which costs each of them one short answer; among those that answer {@link VoterChoice} chooses. Whoever
 * refuses, or does not answer, is left alone for a while that grows up to a bound and is drawn, so that many observers that lost one
 * voter do not come to the others together.
 */
final class Feeds {
    static final int WANTED = 2;
    /** For how long answers to probes are waited for; the slowest of two regions is far below. */
    private static final long PROBE_US = 400_000;

    private static final int MOST_SENT = 8;

    /** One voter that feeds this observer, or is asked to. */
    private static final class Feed {
        private final String voter;
        private boolean joined;
        /** Of the join or the beats that are not answered yet, when each was sent. */
        private final TreeMap<Long, Long> sent = new TreeMap<>();
        private long sentUs;
        private long heardUs;
        private long nextBeatUs;
        private int unanswered;

        private Feed(String voter, long nowUs) {
            this.voter = voter;
            this.heardUs = nowUs;
        }
    }

    /** A beat to a voter that does not feed this observer. */
    private record Probe(long seq, long sentUs) { }

    private final ObserveSettings settings;
    private final String self;
    private final String region;
    private final Counts counts;
    private final UniformRandomProvider random;
    private final List<Feed> feeds = new ArrayList<>();
    private final Map<String, Long> waitUntilUs = new HashMap<>();
    private final Map<String, Probe> probes = new TreeMap<>();
    private final Map<String, Long> roundTripUs = new TreeMap<>();
    private final Map<String, String> regions = new TreeMap<>();
    private Set<String> living = Set.of();
    private long seqs;
    private long decideUs = Long.MAX_VALUE;
    private long nextProbeUs;
    private long backOffUs;
    private boolean started;

    Feeds(ObserveSettings settings, String self, String region, Counts counts, UniformRandomProvider random) {
        this.settings = settings;
        this.self = self;
        this.region = region;
        this.counts = counts;
        this.random = random;
        this.backOffUs = settings.backOffUs();
    }

    /** Which voters may be probed. */
    void living(Set<String> voters) {
        living = voters;
    }

    /** Returns those that have taken this observer, the one that counts it first. */
    List<String> joined() {
        return feeds.stream().filter(feed -> feed.joined).map(feed -> feed.voter).toList();
    }

    /** Returns all voters to try with a call, the best first. */
    List<String> inTurn() {
        List<String> all = new ArrayList<>(joined());
        roundTripUs.keySet().stream().filter(name -> living.contains(name) && !all.contains(name)).forEach(all::add);
        living.stream().sorted().filter(name -> !all.contains(name)).forEach(all::add);
        return all;
    }

    long roundTripUs(String voter) {
        return roundTripUs.getOrDefault(voter, settings.repeatUs());
    }

    /** This process stood still: what was sent to it meanwhile may be unread, and silence does not count. */
    void stoodStill(long gapUs) {
        feeds.forEach(feed -> feed.heardUs += gapUs);
    }

    void tick(long nowUs, long root, long awayUs, Send send) {
        if (!started) {
            started = true;
            // A draw at the start as well: a whole fleet may be starting.
            nextProbeUs = nowUs + random.nextLong(settings.backOffUs());
        }
        for (Feed feed : List.copyOf(feeds)) {
            long patienceUs = feed.joined ? settings.silenceUs() : 3 * settings.repeatUs();
            if (nowUs - feed.heardUs > patienceUs) {
                counts.count(feed.joined ? "feeds.silent" : "joins.unanswered");
                wait(nowUs, feed.voter, settings.silenceUs());
                lost(nowUs, feed);
            } else if (!feed.joined && nowUs - feed.sentUs >= settings.repeatUs()) {
                join(nowUs, feed, send);
            } else if (feed.joined && (nowUs >= feed.nextBeatUs || overdue(nowUs, feed))) {
                beat(nowUs, feed, root, awayUs, send);
            }
        }
        if (nowUs >= decideUs) {
            decideUs = Long.MAX_VALUE;
            decide(nowUs, send);
        } else if (decideUs == Long.MAX_VALUE && nowUs >= nextProbeUs) {
            probe(nowUs, root, awayUs, send);
        }
    }

    /** Has this voter asked at once: its copy may be better now, or this one has just changed. */
    void beatSoon(long nowUs, String voter) {
        feeds.stream().filter(feed -> feed.voter.equals(voter)).forEach(feed -> feed.nextBeatUs = nowUs);
    }

    /** Whether a beat may have got lost. The waits double: a voter that is merely slow is not to have more to do for that. */
    private boolean overdue(long nowUs, Feed feed) {
        return feed.unanswered > 0 && nowUs - feed.sentUs >= settings.repeatUs() << Math.min(feed.unanswered - 1, 4);
    }

    /** Returns when the beat was sent that this answers, or null where it answers none of a feed's. */
    Long echo(long nowUs, String from, long seq) {
        probed(nowUs, from, seq);
        Feed feed = feed(from);
        Long sentUs = feed == null || !feed.joined ? null : feed.sent.get(seq);
        if (sentUs != null) {
            roundTripUs.put(from, Math.max(1, nowUs - sentUs));
            feed.heardUs = nowUs;
            feed.unanswered = 0;
            feed.sent.headMap(seq, true).clear();
        }
        return sentUs;
    }

    /** Returns whether a feed has been won. */
    boolean welcome(long nowUs, String from, ObserveMessage.Welcome welcome) {
        Feed feed = feed(from);
        if (feed == null || feed.joined || !feed.sent.containsKey(welcome.seq())) {
            return false;
        }
        regions.putAll(welcome.regions());
        feed.joined = true;
        feed.heardUs = nowUs;
        feed.unanswered = 0;
        feed.sent.clear();
        feed.nextBeatUs = nowUs;
        backOffUs = settings.backOffUs();
        counts.count("joins");
        return true;
    }

    void later(long nowUs, String from, ObserveMessage.Later later, Send send) {
        probed(nowUs, from, later.seq());
        Feed feed = feed(from);
        if (feed == null || feed.sent.remove(later.seq()) == null) {
            return;
        }
        if (later.why() == ObserveMessage.Reason.UNKNOWN && feed.joined) {
            // It has begun anew, or has held this observer for gone.
            feed.joined = false;
            feed.heardUs = nowUs;
            feed.sent.clear();
            join(nowUs, feed, send);
            return;
        }
        counts.count("joins.refused");
        long atLeastUs = Math.max(0, Math.min(later.retryMs(), 60_000)) * 1_000;
        wait(nowUs, from, atLeastUs + random.nextLong(settings.backOffUs()));
        lost(nowUs, feed);
        nextProbeUs = nowUs + random.nextLong(settings.backOffUs());
    }

    private Feed feed(String voter) {
        return feeds.stream().filter(feed -> feed.voter.equals(voter)).findFirst().orElse(null);
    }

    private void probed(long nowUs, String from, long seq) {
        Probe probe = probes.get(from);
        if (probe != null && probe.seq == seq && decideUs != Long.MAX_VALUE) {
            roundTripUs.put(from, Math.max(1, nowUs - probe.sentUs));
        }
    }

    private void lost(long nowUs, Feed feed) {
        feeds.remove(feed);
        nextProbeUs = Math.min(nextProbeUs, nowUs);
    }

    private void wait(long nowUs, String voter, long forUs) {
        waitUntilUs.put(voter, nowUs + forUs);
    }

    private void probe(long nowUs, long root, long awayUs, Send send) {
        probes.clear();
        roundTripUs.keySet().removeIf(name -> feed(name) == null);
        for (String voter : living) {
            if (feed(voter) == null && waitUntilUs.getOrDefault(voter, Long.MIN_VALUE) <= nowUs) {
                probes.put(voter, new Probe(++seqs, nowUs));
                send.to(voter, new ObserveMessage.Beat(seqs, false, root, awayUs));
            }
        }
        decideUs = nowUs + PROBE_US;
    }

    private void decide(long nowUs, Send send) {
        Map<String, Long> had = new TreeMap<>(roundTripUs);
        had.keySet().removeIf(name -> feed(name) == null && waitUntilUs.getOrDefault(name, Long.MIN_VALUE) > nowUs);
        List<String> best = VoterChoice.of(self, had, regions);
        boolean full = feeds.size() >= WANTED;
        List<String> missing = best.stream().filter(name -> feed(name) == null).toList();
        if (!missing.isEmpty()) {
            if (full) {
                leaveOne(best, send);
            }
            if (feeds.size() < WANTED) {
                Feed feed = new Feed(missing.get(0), nowUs);
                feeds.add(feed);
                join(nowUs, feed, send);
            }
        }
        if (feeds.size() < WANTED) {
            // Few voters answer, or it is this side that is cut off. Where one is fed already there is no haste.
            nextProbeUs = nowUs + (missing.isEmpty() ? drawn() : settings.repeatUs());
        } else {
            nextProbeUs = nowUs + settings.rebalanceUs() / 2 + random.nextLong(settings.rebalanceUs());
        }
        feeds.sort((one, other) -> Long.compare(rank(best, one), rank(best, other)));
    }

    /** One that is not wanted any more makes room; never more than one at a time, so that one always feeds. */
    private void leaveOne(List<String> best, Send send) {
        Feed worst = feeds.stream().filter(feed -> !best.contains(feed.voter)).reduce((one, other) -> other).orElse(null);
        if (worst != null && feeds.stream().anyMatch(feed -> feed != worst && feed.joined)) {
            feeds.remove(worst);
            send.to(worst.voter, new ObserveMessage.Leave());
            counts.count("feeds.changed");
        }
    }

    private static int rank(List<String> best, Feed feed) {
        int at = best.indexOf(feed.voter);
        return (feed.joined ? 0 : 10) + (at < 0 ? 5 : at);
    }

    private long drawn() {
        long wait = backOffUs + random.nextLong(backOffUs);
        backOffUs = Math.min(2 * backOffUs, settings.mostBackOffUs());
        return wait;
    }

    private void join(long nowUs, Feed feed, Send send) {
        send.to(feed.voter, new ObserveMessage.Join(number(nowUs, feed), region, primary(feed)));
    }

    private void beat(long nowUs, Feed feed, long root, long awayUs, Send send) {
        // The draw keeps observers that started together from beating together for ever.
        feed.nextBeatUs = nowUs + settings.beatUs() - random.nextLong(Math.max(1, settings.beatUs() / 8));
        send.to(feed.voter, new ObserveMessage.Beat(number(nowUs, feed), primary(feed), root, awayUs));
        feed.unanswered++;
    }

    private long number(long nowUs, Feed feed) {
        feed.sentUs = nowUs;
        feed.sent.put(++seqs, nowUs);
        if (feed.sent.size() > MOST_SENT) {
            feed.sent.pollFirstEntry();
        }
        return seqs;
    }

    private boolean primary(Feed feed) {
        return feeds.get(0) == feed;
    }
}

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
final class FeedSubscriptions {
    static final int WANTED = 2;
    /** For how long answers to probes are waited for; the slowest of two regions is far below. */
    private static final long PROBE_US = 400_000;

    private static final int MOST_SENT = 8;

    /** One voter that feeds this observer, or is asked to. */
    private static final class Subscription {
        private final String voter;
        private boolean joined;
        /** Of the join or the beats that are not answered yet, when each was sent. */
        private final TreeMap<Long, Long> sent = new TreeMap<>();
        private long sentUs;
        private long heardUs;
        private long nextBeatUs;
        private int unanswered;

        private Subscription(String voter, long nowUs) {
            this.voter = voter;
            this.heardUs = nowUs;
        }
    }

    /** A beat to a voter that does not feed this observer. */
    private record Probe(long seq, long sentUs) { }

    private final ObserveSettings settings;
    private final String self;
    private final String region;
    private final ObserveCounters counters;
    private final UniformRandomProvider random;
    private final List<Subscription> subscriptions = new ArrayList<>();
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

    FeedSubscriptions(ObserveSettings settings, String self, String region, ObserveCounters counters, UniformRandomProvider random) {
        this.settings = settings;
        this.self = self;
        this.region = region;
        this.counters = counters;
        this.random = random;
        this.backOffUs = settings.backOffUs();
    }

    /** Which voters may be probed. */
    void living(Set<String> voters) {
        living = voters;
    }

    /** Returns those that have taken this observer, the one that counts it first. */
    List<String> joined() {
        return subscriptions.stream().filter(subscription -> subscription.joined).map(subscription -> subscription.voter).toList();
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
        subscriptions.forEach(subscription -> subscription.heardUs += gapUs);
    }

    void tick(long nowUs, long root, long awayUs, MessageSender sender) {
        if (!started) {
            started = true;
            // A draw at the start as well: a whole fleet may be starting.
            nextProbeUs = nowUs + random.nextLong(settings.backOffUs());
        }
        for (Subscription subscription : List.copyOf(subscriptions)) {
            long patienceUs = subscription.joined ? settings.silenceUs() : 3 * settings.repeatUs();
            if (nowUs - subscription.heardUs > patienceUs) {
                counters.increment(subscription.joined ? "feeds.silent" : "joins.unanswered");
                wait(nowUs, subscription.voter, settings.silenceUs());
                lost(nowUs, subscription);
            } else if (!subscription.joined && nowUs - subscription.sentUs >= settings.repeatUs()) {
                join(nowUs, subscription, sender);
            } else if (subscription.joined && (nowUs >= subscription.nextBeatUs || overdue(nowUs, subscription))) {
                beat(nowUs, subscription, root, awayUs, sender);
            }
        }
        if (nowUs >= decideUs) {
            decideUs = Long.MAX_VALUE;
            decide(nowUs, sender);
        } else if (decideUs == Long.MAX_VALUE && nowUs >= nextProbeUs) {
            probe(nowUs, root, awayUs, sender);
        }
    }

    /** Has this voter asked at once: its copy may be better now, or this one has just changed. */
    void beatSoon(long nowUs, String voter) {
        subscriptions.stream().filter(subscription -> subscription.voter.equals(voter)).forEach(subscription -> subscription.nextBeatUs = nowUs);
    }

    /** Whether a beat may have got lost. The waits double: a voter that is merely slow is not to have more to do for that. */
    private boolean overdue(long nowUs, Subscription subscription) {
        return subscription.unanswered > 0 && nowUs - subscription.sentUs >= settings.repeatUs() << Math.min(subscription.unanswered - 1, 4);
    }

    /** Returns when the beat was sent that this answers, or null where it answers none of a feed's. */
    Long echo(long nowUs, String from, long seq) {
        probed(nowUs, from, seq);
        Subscription subscription = find(from);
        Long sentUs = subscription == null || !subscription.joined ? null : subscription.sent.get(seq);
        if (sentUs != null) {
            roundTripUs.put(from, Math.max(1, nowUs - sentUs));
            subscription.heardUs = nowUs;
            subscription.unanswered = 0;
            subscription.sent.headMap(seq, true).clear();
        }
        return sentUs;
    }

    /** Returns whether a feed has been won. */
    boolean welcome(long nowUs, String from, ObserveMessage.Welcome welcome) {
        Subscription subscription = find(from);
        if (subscription == null || subscription.joined || !subscription.sent.containsKey(welcome.seq())) {
            return false;
        }
        regions.putAll(welcome.regions());
        subscription.joined = true;
        subscription.heardUs = nowUs;
        subscription.unanswered = 0;
        subscription.sent.clear();
        subscription.nextBeatUs = nowUs;
        backOffUs = settings.backOffUs();
        counters.increment("joins");
        return true;
    }

    void later(long nowUs, String from, ObserveMessage.Later later, MessageSender sender) {
        probed(nowUs, from, later.seq());
        Subscription subscription = find(from);
        if (subscription == null || subscription.sent.remove(later.seq()) == null) {
            return;
        }
        if (later.why() == ObserveMessage.Reason.UNKNOWN && subscription.joined) {
            // It has begun anew, or has held this observer for gone.
            subscription.joined = false;
            subscription.heardUs = nowUs;
            subscription.sent.clear();
            join(nowUs, subscription, sender);
            return;
        }
        counters.increment("joins.refused");
        long atLeastUs = Math.max(0, Math.min(later.retryMs(), 60_000)) * 1_000;
        wait(nowUs, from, atLeastUs + random.nextLong(settings.backOffUs()));
        lost(nowUs, subscription);
        nextProbeUs = nowUs + random.nextLong(settings.backOffUs());
    }

    private Subscription find(String voter) {
        return subscriptions.stream().filter(subscription -> subscription.voter.equals(voter)).findFirst().orElse(null);
    }

    private void probed(long nowUs, String from, long seq) {
        Probe probe = probes.get(from);
        if (probe != null && probe.seq == seq && decideUs != Long.MAX_VALUE) {
            roundTripUs.put(from, Math.max(1, nowUs - probe.sentUs));
        }
    }

    private void lost(long nowUs, Subscription subscription) {
        subscriptions.remove(subscription);
        nextProbeUs = Math.min(nextProbeUs, nowUs);
    }

    private void wait(long nowUs, String voter, long forUs) {
        waitUntilUs.put(voter, nowUs + forUs);
    }

    private void probe(long nowUs, long root, long awayUs, MessageSender sender) {
        probes.clear();
        roundTripUs.keySet().removeIf(name -> find(name) == null);
        for (String voter : living) {
            if (find(voter) == null && waitUntilUs.getOrDefault(voter, Long.MIN_VALUE) <= nowUs) {
                probes.put(voter, new Probe(++seqs, nowUs));
                sender.send(voter, new ObserveMessage.Beat(seqs, false, root, awayUs));
            }
        }
        decideUs = nowUs + PROBE_US;
    }

    private void decide(long nowUs, MessageSender sender) {
        Map<String, Long> had = new TreeMap<>(roundTripUs);
        had.keySet().removeIf(name -> find(name) == null && waitUntilUs.getOrDefault(name, Long.MIN_VALUE) > nowUs);
        List<String> best = VoterChoice.of(self, had, regions);
        boolean full = subscriptions.size() >= WANTED;
        List<String> missing = best.stream().filter(name -> find(name) == null).toList();
        if (!missing.isEmpty()) {
            if (full) {
                leaveOne(best, sender);
            }
            if (subscriptions.size() < WANTED) {
                Subscription subscription = new Subscription(missing.get(0), nowUs);
                subscriptions.add(subscription);
                join(nowUs, subscription, sender);
            }
        }
        if (subscriptions.size() < WANTED) {
            // Few voters answer, or it is this side that is cut off. Where one is fed already there is no haste.
            nextProbeUs = nowUs + (missing.isEmpty() ? drawn() : settings.repeatUs());
        } else {
            nextProbeUs = nowUs + settings.rebalanceUs() / 2 + random.nextLong(settings.rebalanceUs());
        }
        subscriptions.sort((one, other) -> Long.compare(rank(best, one), rank(best, other)));
    }

    /** One that is not wanted any more makes room; never more than one at a time, so that one always feeds. */
    private void leaveOne(List<String> best, MessageSender sender) {
        Subscription worst = subscriptions.stream().filter(subscription -> !best.contains(subscription.voter)).reduce((one, other) -> other).orElse(null);
        if (worst != null && subscriptions.stream().anyMatch(subscription -> subscription != worst && subscription.joined)) {
            subscriptions.remove(worst);
            sender.send(worst.voter, new ObserveMessage.Leave());
            counters.increment("feeds.changed");
        }
    }

    private static int rank(List<String> best, Subscription subscription) {
        int at = best.indexOf(subscription.voter);
        return (subscription.joined ? 0 : 10) + (at < 0 ? 5 : at);
    }

    private long drawn() {
        long wait = backOffUs + random.nextLong(backOffUs);
        backOffUs = Math.min(2 * backOffUs, settings.mostBackOffUs());
        return wait;
    }

    private void join(long nowUs, Subscription subscription, MessageSender sender) {
        sender.send(subscription.voter, new ObserveMessage.Join(number(nowUs, subscription), region, primary(subscription)));
    }

    private void beat(long nowUs, Subscription subscription, long root, long awayUs, MessageSender sender) {
        // The draw keeps observers that started together from beating together for ever.
        subscription.nextBeatUs = nowUs + settings.beatUs() - random.nextLong(Math.max(1, settings.beatUs() / 8));
        sender.send(subscription.voter, new ObserveMessage.Beat(number(nowUs, subscription), primary(subscription), root, awayUs));
        subscription.unanswered++;
    }

    private long number(long nowUs, Subscription subscription) {
        subscription.sentUs = nowUs;
        subscription.sent.put(++seqs, nowUs);
        if (subscription.sent.size() > MOST_SENT) {
            subscription.sent.pollFirstEntry();
        }
        return seqs;
    }

    private boolean primary(Subscription subscription) {
        return subscriptions.get(0) == subscription;
    }
}

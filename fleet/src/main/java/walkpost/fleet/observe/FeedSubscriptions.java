package walkpost.fleet.observe;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * An observer's subscriptions to its feeds, which are two voters: owns which voters these are, when each was last heard from, and the
 * search for others. If a feed is missing, the observer probes all live voters with a heartbeat, which costs each of them one short
 * answer, and {@link VoterChoice} chooses among those that answer. A voter that refuses or does not answer is not tried again for a
 * while, and the wait between probes grows up to a bound. The waits have jitter, so that many observers that lost the same voter do not
 * subscribe to the others at the same moment.
 */
final class FeedSubscriptions {
    static final int FEED_COUNT = 2;
    /** How long answers to probes are awaited; the slowest round trip between two regions is far shorter. */
    private static final long PROBE_TIMEOUT_US = 400_000;
    private static final int MAX_UNANSWERED_REQUESTS = 8;

    /** A subscription to one voter, accepted or still requested. */
    private static final class Subscription {
        private final String voter;
        private boolean active;
        /** The times at which the unanswered subscription requests or heartbeats were sent, by sequence number. */
        private final TreeMap<Long, Long> unansweredSentUs = new TreeMap<>();
        private long sentUs;
        private long lastHeardUs;
        private long nextHeartbeatUs;
        private int unansweredHeartbeats;

        private Subscription(String voter, long nowUs) {
            this.voter = voter;
            this.lastHeardUs = nowUs;
        }
    }

    /** A heartbeat to a voter that is not a feed, which measures the round trip. */
    private record Probe(long seq, long sentUs) { }

    private final ObserveSettings settings;
    private final String self;
    private final String region;
    private final ObserveCounters counters;
    private final UniformRandomProvider random;
    private final List<Subscription> subscriptions = new ArrayList<>();
    private final Map<String, Long> avoidUntilUs = new HashMap<>();
    private final Map<String, Probe> probes = new TreeMap<>();
    private final Map<String, Long> roundTripUs = new TreeMap<>();
    private final Map<String, String> regions = new TreeMap<>();
    private Set<String> liveVoters = Set.of();
    private long lastSeq;
    private long chooseAtUs = Long.MAX_VALUE;
    private long nextProbeUs;
    private long backOffUs;
    private boolean started;

    FeedSubscriptions(ObserveSettings settings, String self, String region, ObserveCounters counters, UniformRandomProvider random) {
        this.settings = settings;
        this.self = self;
        this.region = region;
        this.counters = counters;
        this.random = random;
        this.backOffUs = settings.minBackOffUs();
    }

    /** Sets the live voters, which are the ones that may be probed. */
    void setLiveVoters(Set<String> voters) {
        liveVoters = voters;
    }

    /** Returns the voters that feed this observer, the primary first. */
    List<String> activeFeeds() {
        return subscriptions.stream().filter(subscription -> subscription.active).map(subscription -> subscription.voter).toList();
    }

    /** Returns all live voters to which an order may be forwarded, and the feeds, in the order in which to try them. */
    List<String> votersByPreference() {
        List<String> all = new ArrayList<>(activeFeeds());
        roundTripUs.keySet().stream().filter(name -> liveVoters.contains(name) && !all.contains(name)).forEach(all::add);
        liveVoters.stream().sorted().filter(name -> !all.contains(name)).forEach(all::add);
        return all;
    }

    /** Returns the round-trip time to a voter, or the retransmission period if it has not been measured. */
    long roundTripUs(String voter) {
        return roundTripUs.getOrDefault(voter, settings.retransmitUs());
    }

    /** Disregards the time in which this process was suspended, because messages of that time may still be unread. */
    void processWasSuspended(long gapUs) {
        subscriptions.forEach(subscription -> subscription.lastHeardUs += gapUs);
    }

    /** Sends the heartbeats, requests and probes that are due, and gives up silent voters. */
    void tick(long nowUs, long rootHash, long awayUs, MessageSender sender) {
        if (!started) {
            started = true;
            // Jitter at the start as well, because a whole fleet may be starting.
            nextProbeUs = nowUs + random.nextLong(settings.minBackOffUs());
        }
        for (Subscription subscription : List.copyOf(subscriptions)) {
            long timeoutUs = subscription.active ? settings.silenceUs() : 3 * settings.retransmitUs();
            if (nowUs - subscription.lastHeardUs > timeoutUs) {
                counters.increment(subscription.active ? "feeds.silent" : "joins.unanswered");
                avoid(nowUs, subscription.voter, settings.silenceUs());
                remove(nowUs, subscription);
            } else if (!subscription.active && nowUs - subscription.sentUs >= settings.retransmitUs()) {
                requestSubscription(nowUs, subscription, sender);
            } else if (subscription.active && (nowUs >= subscription.nextHeartbeatUs || isReplyOverdue(nowUs, subscription))) {
                sendHeartbeat(nowUs, subscription, rootHash, awayUs, sender);
            }
        }
        if (nowUs >= chooseAtUs) {
            chooseAtUs = Long.MAX_VALUE;
            choose(nowUs, sender);
        } else if (chooseAtUs == Long.MAX_VALUE && nowUs >= nextProbeUs) {
            sendProbes(nowUs, rootHash, awayUs, sender);
        }
    }

    /** Makes the heartbeat to this voter due at once, because a comparison with it has just changed this observer's replica. */
    void sendHeartbeatSoon(long nowUs, String voter) {
        subscriptions.stream().filter(subscription -> subscription.voter.equals(voter))
                .forEach(subscription -> subscription.nextHeartbeatUs = nowUs);
    }

    /** Returns whether a heartbeat may be lost. The waits double, so that a voter that is merely slow gets little extra load. */
    private boolean isReplyOverdue(long nowUs, Subscription subscription) {
        return subscription.unansweredHeartbeats > 0
                && nowUs - subscription.sentUs >= settings.retransmitUs() << Math.min(subscription.unansweredHeartbeats - 1, 4);
    }

    /** Takes the reply to a heartbeat. Returns when the heartbeat was sent, or null if it was not one to a feed. */
    Long heartbeatReply(long nowUs, String from, long seq) {
        recordProbeReply(nowUs, from, seq);
        Subscription subscription = find(from);
        Long sentUs = subscription == null || !subscription.active ? null : subscription.unansweredSentUs.get(seq);
        if (sentUs != null) {
            roundTripUs.put(from, Math.max(1, nowUs - sentUs));
            subscription.lastHeardUs = nowUs;
            subscription.unansweredHeartbeats = 0;
            subscription.unansweredSentUs.headMap(seq, true).clear();
        }
        return sentUs;
    }

    /** Takes the acceptance of a subscription. Returns whether the voter has become a feed by it. */
    boolean subscribed(long nowUs, String from, ObserveMessage.Subscribed accepted) {
        Subscription subscription = find(from);
        if (subscription == null || subscription.active || !subscription.unansweredSentUs.containsKey(accepted.seq())) {
            return false;
        }
        regions.putAll(accepted.regions());
        subscription.active = true;
        subscription.lastHeardUs = nowUs;
        subscription.unansweredHeartbeats = 0;
        subscription.unansweredSentUs.clear();
        subscription.nextHeartbeatUs = nowUs;
        backOffUs = settings.minBackOffUs();
        counters.increment("joins");
        return true;
    }

    /** Takes a refusal: subscribes again if the voter no longer knows this observer, or else leaves the voter alone for a while. */
    void refused(long nowUs, String from, ObserveMessage.SubscriptionRefused refusal, MessageSender sender) {
        recordProbeReply(nowUs, from, refusal.seq());
        Subscription subscription = find(from);
        if (subscription == null || subscription.unansweredSentUs.remove(refusal.seq()) == null) {
            return;
        }
        if (refusal.why() == ObserveMessage.RefusalReason.UNKNOWN && subscription.active) {
            // The voter has restarted, or has forgotten this observer after a silence.
            subscription.active = false;
            subscription.lastHeardUs = nowUs;
            subscription.unansweredSentUs.clear();
            requestSubscription(nowUs, subscription, sender);
            return;
        }
        counters.increment("joins.refused");
        long minWaitUs = Math.max(0, Math.min(refusal.retryMs(), 60_000)) * 1_000;
        avoid(nowUs, from, minWaitUs + random.nextLong(settings.minBackOffUs()));
        remove(nowUs, subscription);
        nextProbeUs = nowUs + random.nextLong(settings.minBackOffUs());
    }

    private Subscription find(String voter) {
        return subscriptions.stream().filter(subscription -> subscription.voter.equals(voter)).findFirst().orElse(null);
    }

    private void recordProbeReply(long nowUs, String from, long seq) {
        Probe probe = probes.get(from);
        if (probe != null && probe.seq == seq && chooseAtUs != Long.MAX_VALUE) {
            roundTripUs.put(from, Math.max(1, nowUs - probe.sentUs));
        }
    }

    private void remove(long nowUs, Subscription subscription) {
        subscriptions.remove(subscription);
        nextProbeUs = Math.min(nextProbeUs, nowUs);
    }

    private void avoid(long nowUs, String voter, long forUs) {
        avoidUntilUs.put(voter, nowUs + forUs);
    }

    private void sendProbes(long nowUs, long rootHash, long awayUs, MessageSender sender) {
        probes.clear();
        roundTripUs.keySet().removeIf(name -> find(name) == null);
        for (String voter : liveVoters) {
            if (find(voter) == null && avoidUntilUs.getOrDefault(voter, Long.MIN_VALUE) <= nowUs) {
                probes.put(voter, new Probe(++lastSeq, nowUs));
                sender.send(voter, new ObserveMessage.Heartbeat(lastSeq, false, rootHash, awayUs));
            }
        }
        chooseAtUs = nowUs + PROBE_TIMEOUT_US;
    }

    private void choose(long nowUs, MessageSender sender) {
        Map<String, Long> available = new TreeMap<>(roundTripUs);
        available.keySet().removeIf(name -> find(name) == null && avoidUntilUs.getOrDefault(name, Long.MIN_VALUE) > nowUs);
        List<String> best = VoterChoice.choose(self, available, regions);
        boolean full = subscriptions.size() >= FEED_COUNT;
        List<String> missing = best.stream().filter(name -> find(name) == null).toList();
        if (!missing.isEmpty()) {
            if (full) {
                endWorstSubscription(best, sender);
            }
            if (subscriptions.size() < FEED_COUNT) {
                Subscription subscription = new Subscription(missing.get(0), nowUs);
                subscriptions.add(subscription);
                requestSubscription(nowUs, subscription, sender);
            }
        }
        if (subscriptions.size() < FEED_COUNT) {
            // Few voters answer, or this member is cut off. There is no hurry if the observer has a feed already.
            nextProbeUs = nowUs + (missing.isEmpty() ? drawBackOffUs() : settings.retransmitUs());
        } else {
            nextProbeUs = nowUs + settings.rebalanceUs() / 2 + random.nextLong(settings.rebalanceUs());
        }
        subscriptions.sort((one, other) -> Long.compare(rank(best, one), rank(best, other)));
    }

    /** Ends the last subscription to a voter that is not among the best: one at a time, so that the observer always has a feed. */
    private void endWorstSubscription(List<String> best, MessageSender sender) {
        Subscription worst = subscriptions.stream().filter(subscription -> !best.contains(subscription.voter))
                .reduce((one, other) -> other).orElse(null);
        if (worst != null && subscriptions.stream().anyMatch(subscription -> subscription != worst && subscription.active)) {
            subscriptions.remove(worst);
            sender.send(worst.voter, new ObserveMessage.Unsubscribe());
            counters.increment("feeds.changed");
        }
    }

    private static int rank(List<String> best, Subscription subscription) {
        int at = best.indexOf(subscription.voter);
        return (subscription.active ? 0 : 10) + (at < 0 ? 5 : at);
    }

    private long drawBackOffUs() {
        long waitUs = backOffUs + random.nextLong(backOffUs);
        backOffUs = Math.min(2 * backOffUs, settings.maxBackOffUs());
        return waitUs;
    }

    private void requestSubscription(long nowUs, Subscription subscription, MessageSender sender) {
        sender.send(subscription.voter, new ObserveMessage.Subscribe(nextSeq(nowUs, subscription), region, isPrimary(subscription)));
    }

    private void sendHeartbeat(long nowUs, Subscription subscription, long rootHash, long awayUs, MessageSender sender) {
        // The jitter keeps observers that started together from sending their heartbeats at the same moments for ever.
        subscription.nextHeartbeatUs = nowUs + settings.heartbeatUs() - random.nextLong(Math.max(1, settings.heartbeatUs() / 8));
        sender.send(subscription.voter,
                new ObserveMessage.Heartbeat(nextSeq(nowUs, subscription), isPrimary(subscription), rootHash, awayUs));
        subscription.unansweredHeartbeats++;
    }

    private long nextSeq(long nowUs, Subscription subscription) {
        subscription.sentUs = nowUs;
        subscription.unansweredSentUs.put(++lastSeq, nowUs);
        if (subscription.unansweredSentUs.size() > MAX_UNANSWERED_REQUESTS) {
            subscription.unansweredSentUs.pollFirstEntry();
        }
        return lastSeq;
    }

    private boolean isPrimary(Subscription subscription) {
        return subscriptions.get(0) == subscription;
    }
}

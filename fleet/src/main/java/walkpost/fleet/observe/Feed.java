package walkpost.fleet.observe;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import walkpost.fleet.StateMachine;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.MessageSizes;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Slot;

/**
 * The state machine by which a voter feeds observers: admits a bounded number of them, answers their heartbeats from one table of the
 * slots of all shards, pushes changed slots, and takes their forwarded orders and reported entries. It does not vote: offers and orders
 * of observers go to the shards, which know voters only. See {@code docs/fleet.md}. Each part owns one piece of the state; this class
 * owns whether the voter is caught up.
 *
 * <p>Not thread-safe: the getters need the same lock as {@link #handle}. The collections they return do not change afterwards.
 */
public final class Feed implements StateMachine<FeedEvent, FeedAction> {
    /** A step of the clock above this means that the process was suspended, not merely slow. */
    private static final long SUSPENDED_GAP_US = 1_000_000;
    private static final int MAX_QUERIES_PER_SECOND = 20;
    /** How many names of observers that lack an order a reply lists. */
    private static final int MAX_LACKING_NAMES = 50;

    private final ObserveSettings settings;
    private final String self;
    private final Set<String> voters;
    private final ObserveCounters counters = new ObserveCounters();
    private final SlotTable table = new SlotTable();
    private final Subscribers subscribers;
    private final SlotSyncServer slotSync;
    private final ReportedEntries reportedEntries = new ReportedEntries(counters);
    private final ForwardedOrders forwardedOrders = new ForwardedOrders(counters);
    private final ObserverCensus observerCensus;
    private final TokenBucket queryBucket = new TokenBucket(MAX_QUERIES_PER_SECOND);
    private Set<String> otherVoters = Set.of();
    private boolean caughtUp;
    private long caughtUpUntilUs = Long.MIN_VALUE;
    private long lastUs = Long.MIN_VALUE;

    /**
     * Makes a feed without observers.
     *
     * @param self this voter's name
     * @param region this voter's region; empty if the fleet file names none
     * @param voters the names of all voters, including this one
     */
    public Feed(ObserveSettings settings, String self, String region, Set<String> voters) {
        this.settings = settings;
        this.self = self;
        this.voters = Set.copyOf(voters);
        subscribers = new Subscribers(settings, counters);
        slotSync = new SlotSyncServer(settings, table, counters);
        observerCensus = new ObserverCensus(settings, self, region);
    }

    @Override
    public void handle(long nowUs, FeedEvent event, Consumer<FeedAction> actions) {
        if (lastUs != Long.MIN_VALUE && nowUs - lastUs > SUSPENDED_GAP_US) {
            counters.increment("stood_still");
            subscribers.processWasSuspended(nowUs - lastUs);
        }
        lastUs = nowUs;
        forwardedOrders.recordTime(nowUs);
        MessageSender sender = (to, message) -> actions.accept(new FeedAction.Send(to, message));
        if (event instanceof FeedEvent.Tick) {
            table.forget(nowUs, settings.removalUs());
            subscribers.tick(nowUs, table, awayUs(nowUs), sender);
            reportedEntries.forget(nowUs, subscribers);
            forwardedOrders.tick(nowUs);
            observerCensus.tick(nowUs, otherVoters, subscribers.countedByRegion(), sender);
        } else if (event instanceof FeedEvent.Received received) {
            receive(nowUs, received.from(), received.message(), sender, actions);
        } else if (event instanceof FeedEvent.EntriesQueried queried) {
            if (queryBucket.take(nowUs, 1)) {
                answerEntries(nowUs, queried.from(), queried.query(), queried.own(), sender);
            }
        } else if (event instanceof FeedEvent.SlotsChanged changed) {
            slotsChanged(nowUs, changed.slots(), sender);
        } else if (event instanceof FeedEvent.CaughtUpChanged change) {
            caughtUpUntilUs = caughtUp ? nowUs : caughtUpUntilUs;
            caughtUp = change.caughtUp();
        } else if (event instanceof FeedEvent.LiveVoters live) {
            otherVoters = new TreeSet<>(live.names().stream().filter(name -> voters.contains(name) && !name.equals(self)).toList());
        } else if (event instanceof FeedEvent.Acknowledged acknowledged) {
            forwardedOrders.acknowledged(nowUs, acknowledged.id(), acknowledged.order(), sender);
        } else if (event instanceof FeedEvent.Refused refused) {
            forwardedOrders.refused(nowUs, refused.id(), refused.cause(), sender);
        }
    }

    /** Returns the number of live observers by region, as all voters together count them. */
    public Map<String, Integer> observersByRegion(long nowUs) {
        return observerCensus.observersByRegion(nowUs, subscribers.countedByRegion());
    }

    /** Returns the counters and gauges by name, such as {@code observers}. */
    public Map<String, Long> counters() {
        Map<String, Long> all = counters.snapshot();
        all.put("observers", (long) subscribers.size());
        all.put("facts", (long) reportedEntries.size());
        all.put("slots", (long) table.size());
        return all;
    }

    /** Returns the time since this voter was last caught up. */
    private long awayUs(long nowUs) {
        return caughtUp ? 0 : caughtUpUntilUs == Long.MIN_VALUE ? Observer.NEVER_US : nowUs - caughtUpUntilUs;
    }

    private void slotsChanged(long nowUs, List<Slot> slots, MessageSender sender) {
        slots.forEach(slot -> table.put(nowUs, slot));
        // A forgotten slot is not pushed, because each member forgets removals by itself.
        subscribers.push(nowUs, slots.stream().filter(slot -> !slot.hasNoHistory()).toList(), awayUs(nowUs), sender);
    }

    private void receive(long nowUs, String from, ObserveMessage message, MessageSender sender, Consumer<FeedAction> actions) {
        if (message instanceof ObserveMessage.EntriesQuery query) {
            if (queryBucket.take(nowUs, 1)) {
                answerEntries(nowUs, from, query, List.of(), sender);
            }
        } else if (message instanceof ObserveMessage.CoverageQuery query) {
            if (queryBucket.take(nowUs, 1)) {
                answerCoverage(from, query, sender);
            }
        } else if (message instanceof ObserveMessage.ObserverCounts counts) {
            if (voters.contains(from)) {
                observerCensus.receive(nowUs, from, counts);
            } else {
                counters.increment("dropped.no_voter");
            }
        } else if (voters.contains(from)) {
            // A voter that acts as an observer has a different fleet file.
            counters.increment("dropped.voter_as_observer");
        } else {
            receiveFromObserver(nowUs, from, message, sender, actions);
        }
    }

    private void receiveFromObserver(long nowUs, String from, ObserveMessage message, MessageSender sender, Consumer<FeedAction> actions) {
        if (message instanceof ObserveMessage.Heartbeat heartbeat) {
            boolean known = subscribers.heartbeat(nowUs, from, heartbeat.primary(), caughtUp && slotSync.isEqual(heartbeat.root()));
            sender.send(from, known
                    ? new ObserveMessage.HeartbeatReply(heartbeat.seq(), caughtUp, awayUs(nowUs), slotSync.differingNodes(heartbeat.root()),
                            observersByRegion(nowUs))
                    : new ObserveMessage.SubscriptionRefused(heartbeat.seq(), ObserveMessage.RefusalReason.UNKNOWN, 0));
        } else if (message instanceof ObserveMessage.Subscribe request) {
            ObserveMessage.SubscriptionRefused refusal = subscribers.subscribe(nowUs, from, request);
            sender.send(from, refusal != null ? refusal : new ObserveMessage.Subscribed(request.seq(), observerCensus.regions()));
        } else if (message instanceof ObserveMessage.Unsubscribe) {
            subscribers.unsubscribe(from);
        } else if (message instanceof ObserveMessage.PushAck ack) {
            subscribers.pushAcknowledged(from, ack.number());
        } else if (message instanceof ObserveMessage.ReportEntries report) {
            reportedEntries.store(nowUs, from, report.facts());
        } else if (message instanceof ObserveMessage.LeafHashes hashes) {
            slotSync.compareLeaves(from, hashes, sender);
        } else if (message instanceof ObserveMessage.FetchRequest request) {
            slotSync.sendSlots(from, request, awayUs(nowUs), sender);
        } else if (message instanceof ObserveMessage.Offer offer) {
            List<Slot> accepted = slotSync.receiveOffer(nowUs, from, offer, awayUs(nowUs), sender);
            if (!accepted.isEmpty()) {
                counters.increment("offers.taken");
                actions.accept(new FeedAction.OfferSlots(accepted));
            }
        } else if (message instanceof ObserveMessage.ForwardOrder order) {
            if (forwardedOrders.receive(nowUs, from, order, sender)) {
                actions.accept(new FeedAction.Propose(order.key(), order.id(), order.replaces(), order.payload()));
            }
        } else {
            counters.increment("dropped.not_for_voters");
        }
    }

    private void answerEntries(long nowUs, String from, ObserveMessage.EntriesQuery query, List<Entry> own, MessageSender sender) {
        List<Entry> all = new ArrayList<>(own);
        if (query.topic() != null) {
            all.addAll(reportedEntries.onTopic(query.topic(), nowUs));
        }
        List<List<Entry>> parts = MessageSizes.split(all, MessageSizes::bytesOf);
        if (parts.isEmpty()) {
            parts.add(List.of());
        }
        for (int part = 0; part < parts.size(); part++) {
            sender.send(from, new ObserveMessage.EntriesReply(query.seq(), part, parts.size(), parts.get(part)));
        }
    }

    private void answerCoverage(String from, ObserveMessage.CoverageQuery query, MessageSender sender) {
        Slot slot = table.slot(query.key());
        boolean heldHere = slot.heads().stream().map(Order::id).anyMatch(query.id()::equals) || slot.replaced().containsKey(query.id());
        List<String> lacking = new ArrayList<>();
        if (!heldHere) {
            lacking.add(self);
        }
        subscribers.counted().stream().filter(name -> !heldHere || !subscribers.holds(name, query.key())).forEach(lacking::add);
        int memberCount = subscribers.counted().size() + 1;
        sender.send(from, new ObserveMessage.CoverageReply(query.seq(), memberCount - lacking.size(), memberCount,
                lacking.subList(0, Math.min(MAX_LACKING_NAMES, lacking.size()))));
    }
}

package walkpost.fleet.observe;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import walkpost.fleet.StateMachine;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.copy.SlotMerge;
import walkpost.fleet.member.Life;

/**
 * The state machine of an observer, a member without a vote: it keeps a replica of the orders of all shards through two voters, its
 * feeds, so that the load does not grow with the number of members or shards. See {@code docs/fleet.md}. Each part owns one piece of the
 * state; this class owns which effective orders were published to the process, and when the replica was last in sync.
 *
 * <p>Slots are merged, never replaced, so that no voter, however far behind, can revert an order. The process acts on a published order
 * until a newer one arrives, also while no voter is in reach.
 *
 * <p>Not thread-safe: the getters need the same lock as {@link #handle}. The collections they return do not change afterwards.
 */
public final class Observer implements StateMachine<ObserverEvent, ObserverAction> {
    /** The age of a replica that has never been in sync: huge, but small enough to be added without overflow. */
    public static final long NEVER_US = Long.MAX_VALUE / 4;
    /** A step of the clock above this means that the process was suspended, not merely slow. */
    private static final long SUSPENDED_GAP_US = 1_000_000;

    private final ObserveSettings settings;
    private final Set<String> voters;
    private final ObserveCounters counters = new ObserveCounters();
    private final SlotTable table = new SlotTable();
    private final FeedSubscriptions subscriptions;
    private final SlotSyncClient slotSync;
    private final OrderForwarder orderForwarder;
    private final OwnEntries ownEntries;
    private final Map<Order.Key, EffectiveOrder> published = new HashMap<>();
    private final Set<Order.Key> unpublished = new LinkedHashSet<>();
    private Map<String, Integer> observersByRegion = Map.of();
    /** Whether the replica has been equal to a caught-up voter's since it was last empty; only then may its orders be acted on. */
    private boolean hasBeenInSync;
    private boolean caughtUp;
    /** When the replica was last known to be in sync; valid only if {@link #hasBeenInSync}. */
    private long lastInSyncUs;
    private long lastUs = Long.MIN_VALUE;

    /**
     * Makes an observer with an empty replica.
     *
     * @param self this member's name and incarnation
     * @param region this member's region; empty if the fleet file names none
     * @param voters the names of all voters; this member is not one of them
     * @param seed the seed of the jitter, and of the order in which a comparison visits the differing nodes
     */
    public Observer(ObserveSettings settings, Life self, String region, Set<String> voters, long seed) {
        if (voters.isEmpty() || voters.contains(self.name())) {
            throw new IllegalArgumentException("an observer needs at least one voter and must not be one itself: self=" + self.name()
                    + ", voters=" + voters);
        }
        this.settings = settings;
        this.voters = Set.copyOf(voters);
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        subscriptions = new FeedSubscriptions(settings, self.name(), region, counters, random);
        slotSync = new SlotSyncClient(table, counters, seed);
        orderForwarder = new OrderForwarder(settings, self, counters);
        ownEntries = new OwnEntries(self, counters);
    }

    @Override
    public void handle(long nowUs, ObserverEvent event, Consumer<ObserverAction> actions) {
        recordTime(nowUs);
        MessageSender sender = (to, message) -> actions.accept(new ObserverAction.Send(to, message));
        if (event instanceof ObserverEvent.Tick) {
            tick(nowUs, sender, actions);
        } else if (event instanceof ObserverEvent.LiveVoters live) {
            subscriptions.setLiveVoters(new TreeSet<>(live.roundTripUs().keySet().stream().filter(voters::contains).toList()));
        } else if (event instanceof ObserverEvent.Received received) {
            if (voters.contains(received.from())) {
                receive(nowUs, received.from(), received.message(), sender, actions);
            } else {
                counters.increment("dropped.no_voter");
            }
        } else if (event instanceof ObserverEvent.WriteEntry write) {
            ownEntries.write(nowUs, write.topic(), write.subject(), write.payload());
        } else if (event instanceof ObserverEvent.Propose propose) {
            orderForwarder.propose(nowUs, propose);
            orderForwarder.tick(nowUs, subscriptions.votersByPreference(), controlAgeUs(nowUs), sender, actions);
        }
        publishChanges(nowUs, actions);
    }

    /** Returns whether this replica was found equal to a caught-up voter's recently enough to rely on it. */
    public boolean isCaughtUp() {
        return caughtUp;
    }

    /** Returns how long ago this replica was last known to be in sync, in microseconds; {@link #NEVER_US} if it never was. */
    public long controlAgeUs(long nowUs) {
        return hasBeenInSync ? nowUs - lastInSyncUs : NEVER_US;
    }

    /** Returns the effective orders by key, including remembered removals, which have no payload. */
    public Map<Order.Key, EffectiveOrder> effectiveOrders() {
        return table.effectiveOrders();
    }

    /** Returns the voters that feed this observer now, the primary feed first. */
    public List<String> feeds() {
        return subscriptions.activeFeeds();
    }

    /** Returns the number of live observers by region, as the voters report it; empty if it is not known. */
    public Map<String, Integer> observersByRegion() {
        return observersByRegion;
    }

    /** Returns the counters and gauges by name. */
    public Map<String, Long> counters() {
        Map<String, Long> all = counters.snapshot();
        all.put("slots", (long) table.size());
        return all;
    }

    /** Returns an age as text for messages to operators. */
    public static String formatAge(long ageUs) {
        return ageUs >= NEVER_US ? "never" : ageUs / 1_000_000 + " s ago";
    }

    private void recordTime(long nowUs) {
        if (lastUs != Long.MIN_VALUE && nowUs - lastUs > SUSPENDED_GAP_US) {
            counters.increment("stood_still");
            subscriptions.processWasSuspended(nowUs - lastUs);
        }
        lastUs = nowUs;
    }

    private void tick(long nowUs, MessageSender sender, Consumer<ObserverAction> actions) {
        table.forget(nowUs, settings.removalUs());
        subscriptions.tick(nowUs, table.tree().root(), controlAgeUs(nowUs), sender);
        ownEntries.tick(nowUs, subscriptions.activeFeeds(), subscriptions, sender);
        orderForwarder.tick(nowUs, subscriptions.votersByPreference(), controlAgeUs(nowUs), sender, actions);
    }

    private void receive(long nowUs, String from, ObserveMessage message, MessageSender sender, Consumer<ObserverAction> actions) {
        if (message instanceof ObserveMessage.HeartbeatReply reply) {
            receiveHeartbeatReply(nowUs, from, reply, sender, actions);
        } else if (message instanceof ObserveMessage.Push push) {
            push.slots().forEach(slot -> merge(nowUs, slot));
            sender.send(from, new ObserveMessage.PushAck(push.number()));
        } else if (message instanceof ObserveMessage.SlotDigests digests) {
            if (slotSync.receiveDigests(nowUs, from, digests, controlAgeUs(nowUs), sender)) {
                subscriptions.sendHeartbeatSoon(nowUs, from);
            }
        } else if (message instanceof ObserveMessage.Slots slots) {
            receiveSlots(nowUs, from, slots, sender);
        } else if (message instanceof ObserveMessage.ForwardOrderReply reply) {
            orderForwarder.receiveReply(nowUs, from, reply, actions);
        } else if (message instanceof ObserveMessage.Subscribed accepted) {
            if (subscriptions.subscribed(nowUs, from, accepted)) {
                ownEntries.reportAll(nowUs, from, subscriptions, sender);
            }
        } else if (message instanceof ObserveMessage.SubscriptionRefused refusal) {
            subscriptions.refused(nowUs, from, refusal, sender);
        } else {
            counters.increment("dropped.not_for_observers");
        }
    }

    private void receiveHeartbeatReply(long nowUs, String from, ObserveMessage.HeartbeatReply reply, MessageSender sender,
            Consumer<ObserverAction> actions) {
        Long sentUs = subscriptions.heartbeatReply(nowUs, from, reply.seq());
        if (sentUs == null || !reply.level()) {
            // A voter that is not caught up may be behind, so that its replica does not stand for the fleet's orders.
            return;
        }
        if (!reply.lives().isEmpty() && !reply.lives().equals(observersByRegion)) {
            observersByRegion = reply.lives();
            actions.accept(new ObserverAction.ObserverCountsChanged(observersByRegion));
        }
        if (reply.nodes().length == 0) {
            lastInSyncUs = hasBeenInSync ? Math.max(lastInSyncUs, sentUs) : sentUs;
            hasBeenInSync = true;
            return;
        }
        if (hasBeenInSync && nowUs - lastInSyncUs - Math.max(0, reply.awayUs()) > settings.removalUs() / 2) {
            // The voters may have forgotten removals of this time. Published orders are acted on until the replica is in sync again.
            counters.increment("copy.emptied");
            unpublished.addAll(table.clear());
            hasBeenInSync = false;
        }
        slotSync.begin(nowUs, from, reply.seq(), reply.nodes(), sender);
    }

    private void receiveSlots(long nowUs, String from, ObserveMessage.Slots slots, MessageSender sender) {
        List<Slot> voterLacks = new ArrayList<>();
        boolean changed = false;
        for (Slot slot : slots.slots()) {
            changed |= merge(nowUs, slot);
            Slot merged = table.slot(slot.key());
            // A removal is offered only if the voter has an order in force, because otherwise each side forgets the removal by itself.
            boolean removedOnBothSides = SlotMerge.isRemoved(slot) && SlotMerge.isRemoved(merged);
            if (!slot.hasNoHistory() && !removedOnBothSides && !merged.equals(SlotMerge.join(slot, slot))) {
                voterLacks.add(merged);
            }
        }
        if (hasBeenInSync) {
            slotSync.offer(from, controlAgeUs(nowUs), voterLacks, sender);
        }
        if (slotSync.receiveSlots(nowUs, from, slots.slots(), changed, sender)) {
            subscriptions.sendHeartbeatSoon(nowUs, from);
        }
    }

    private boolean merge(long nowUs, Slot slot) {
        boolean changed = table.merge(nowUs, slot);
        if (changed) {
            unpublished.add(slot.key());
        }
        return changed;
    }

    private void publishChanges(long nowUs, Consumer<ObserverAction> actions) {
        boolean caughtUpNow = hasBeenInSync && nowUs - lastInSyncUs <= settings.silenceUs() + settings.heartbeatUs();
        if (hasBeenInSync) {
            publishOrders(actions);
        }
        if (caughtUpNow != caughtUp) {
            caughtUp = caughtUpNow;
            counters.increment(caughtUpNow ? "level.reached" : "level.lost");
            actions.accept(new ObserverAction.CaughtUpChanged(caughtUpNow));
            if (!caughtUpNow && !observersByRegion.isEmpty()) {
                observersByRegion = Map.of();
                actions.accept(new ObserverAction.ObserverCountsChanged(observersByRegion));
            }
        }
    }

    private void publishOrders(Consumer<ObserverAction> actions) {
        for (Order.Key key : unpublished) {
            EffectiveOrder current = SlotMerge.effectiveOrder(table.slot(key));
            EffectiveOrder before = published.get(key);
            if (current.chosen() == null) {
                published.remove(key);
                if (before != null && before.payload() != null) {
                    actions.accept(new ObserverAction.EffectiveOrderChanged(key, current));
                }
            } else if (!current.equals(before)) {
                published.put(key, current);
                actions.accept(new ObserverAction.EffectiveOrderChanged(key, current));
            }
        }
        unpublished.clear();
    }
}

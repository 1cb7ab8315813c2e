package walkpost.fleet.copy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import walkpost.fleet.StateMachine;
import walkpost.fleet.member.Life;

/**
 * This member's replica of one shard of the fleet's state: the entries and orders whose keys {@link KeyHash#shardOf} maps to the shard.
 * Each component owns one part of the state; this class passes events to the components and owns what has been reported to the process.
 * See {@code docs/fleet.md}.
 *
 * <p>Not thread-safe: the read methods need the same lock as {@link #handle}. The values that they return are immutable or copies.
 */
public final class Shard implements StateMachine<ShardEvent, ShardAction> {
    private final ShardSettings settings;
    private final ShardCounters counters = new ShardCounters();
    private final Outbox out = new Outbox();
    private final PeerSet peers;
    private final CatchUpState catchUpState;
    private final SlotStore slotStore;
    private final EntryStore entryStore;
    private final EntryGossip gossip;
    private final Acceptor acceptor;
    private final OrderCoordinator coordinator;
    private final AntiEntropyResponder antiEntropyResponder;
    private final AntiEntropyRequester antiEntropyRequester;
    private final Map<Order.Key, EffectiveOrder> reportedOrders = new HashMap<>();
    private boolean reportedCaughtUp;

    /**
     * Creates an empty replica that is not caught up.
     *
     * @param self this member's name and incarnation
     * @param configured the names of the members whose majority acknowledges orders; this member need not be among them
     * @param seed the seed for the random choice of members to gossip to and to compare with
     */
    public Shard(ShardSettings settings, Life self, Set<String> configured, long seed) {
        if (configured.isEmpty()) {
            throw new IllegalArgumentException("configured is empty, expected the name of at least one member");
        }
        this.settings = settings;
        peers = new PeerSet(self.name(), configured, settings.comparisonPeriodUs(), seed);
        catchUpState = new CatchUpState(settings, peers, counters);
        slotStore = new SlotStore(settings, counters);
        gossip = new EntryGossip(settings, peers);
        entryStore = new EntryStore(settings, peers, counters, self, gossip::enqueue);
        acceptor = new Acceptor(settings, catchUpState, slotStore);
        coordinator = new OrderCoordinator(settings, self, peers, catchUpState, slotStore, acceptor, counters);
        antiEntropyResponder = new AntiEntropyResponder(catchUpState, slotStore, entryStore);
        antiEntropyRequester = new AntiEntropyRequester(settings, peers, catchUpState, slotStore, entryStore);
    }

    @Override
    public void handle(long nowUs, ShardEvent event, Consumer<ShardAction> actions) {
        if (catchUpState.advanceClock(nowUs)) {
            antiEntropyRequester.reset(nowUs);
        }
        coordinator.failExpired(nowUs, out);
        acceptor.expire(nowUs);
        if (event instanceof ShardEvent.Tick) {
            tick(nowUs);
        } else if (event instanceof ShardEvent.Received received) {
            catchUpState.recordHeard(received.from(), nowUs);
            receive(nowUs, received.from(), received.message());
        } else if (event instanceof ShardEvent.LivePeers living) {
            peers.setAlive(living.roundTripUs());
        } else if (event instanceof ShardEvent.WriteEntry write) {
            Entry.Key key = entryStore.write(nowUs, write.topic(), write.subject(), write.payload());
            if (key != null) {
                gossip.sendAtOnce(nowUs, key, entryStore, out);
            }
        } else if (event instanceof ShardEvent.Propose propose) {
            coordinator.propose(nowUs, propose, out);
        } else if (event instanceof ShardEvent.SlotsOffered offered) {
            offered.slots().forEach(slot -> slotStore.merge(nowUs, slot, 0));
        } else if (event instanceof ShardEvent.Restored restored) {
            catchUpState.recordRestored(nowUs, restored.awayUs());
            restored.slots().forEach(slot -> slotStore.merge(nowUs, slot, 0));
            slotStore.takeUnsaved();
        }
        updateCaughtUp(nowUs);
        coordinator.review(nowUs, out);
        entryStore.checkAges(nowUs, out);
        reportOrders();
        out.flush(slotStore.takeUnsaved(), actions);
    }

    /** Returns the order in effect for each key, in this replica; for removed keys that are still remembered, the payload is null. */
    public Map<Order.Key, EffectiveOrder> effectiveOrders() {
        return slotStore.effectiveOrders();
    }

    /** Returns the entries of a topic that are not withdrawn, stale ones included, with their ages at {@code nowUs}. */
    public List<Entry> entries(String topic, long nowUs) {
        return entryStore.entries(topic, nowUs);
    }

    /** Returns whether this replica has caught up with a majority of the configured members. */
    public boolean isCaughtUp() {
        return catchUpState.isCaughtUp();
    }

    /** Returns the number of configured members, this one included, with which this replica has been compared. */
    public int comparedCount() {
        return catchUpState.comparedCount();
    }

    /** Returns all slots, for a snapshot. */
    public List<Slot> slots() {
        return slotStore.slots();
    }

    /** Returns the counters by name, and the numbers of entries, slots and queued fetches. */
    public Map<String, Long> counters() {
        Map<String, Long> all = counters.snapshot();
        all.put("facts", (long) entryStore.size());
        all.put("slots", (long) slotStore.slots().size());
        all.put("fetches.waiting", (long) antiEntropyRequester.waitingCount());
        return all;
    }

    private void tick(long nowUs) {
        slotStore.forgetOldRemovals(nowUs);
        gossip.sendRound(nowUs, entryStore, out);
        antiEntropyRequester.tick(nowUs, out);
    }

    private void receive(long nowUs, String from, ShardMessage message) {
        if (message instanceof ShardMessage.Entries entries) {
            receiveEntries(nowUs, from, entries);
        } else if (message instanceof ShardMessage.Propose proposal) {
            emptyIfOutdated(nowUs, 0);
            slotStore.merge(nowUs, proposal.slot(), 0);
            out.send(from, acceptor.answerProposal(nowUs, proposal));
        } else if (message instanceof ShardMessage.Promised promised) {
            coordinator.recordConfirmation(nowUs, from, promised.round(), promised.id(), false, out);
        } else if (message instanceof ShardMessage.Declined declined) {
            if (declined.slot() != null) {
                slotStore.merge(nowUs, declined.slot(), 0);
            }
            coordinator.recordDeclined(from, declined);
        } else if (message instanceof ShardMessage.ReleasePromise release) {
            acceptor.release(release.key(), from, release.incarnation(), release.round());
        } else if (message instanceof ShardMessage.Commit commit) {
            emptyIfOutdated(nowUs, 0);
            slotStore.merge(nowUs, commit.slot(), 0);
            acceptor.releaseDecided(commit.slot().key(), commit.id());
            if (catchUpState.isCaughtUp()) {
                out.send(from, new ShardMessage.Committed(commit.round(), commit.id()));
            }
        } else if (message instanceof ShardMessage.Committed committed) {
            coordinator.recordConfirmation(nowUs, from, committed.round(), committed.id(), true, out);
        } else {
            receiveAntiEntropy(nowUs, from, message);
        }
    }

    private void receiveAntiEntropy(long nowUs, String from, ShardMessage message) {
        if (message instanceof ShardMessage.CompareRoots request) {
            emptyIfOutdated(nowUs, request.awayUs());
            antiEntropyResponder.answerCompareRoots(nowUs, from, request, out);
        } else if (message instanceof ShardMessage.NodeHashes nodes) {
            emptyIfOutdated(nowUs, nodes.awayUs());
            if (!isOutdated(nowUs, nodes.awayUs())) {
                antiEntropyRequester.receiveNodeHashes(nowUs, from, nodes, out);
            }
        } else if (message instanceof ShardMessage.LeafHashes request) {
            antiEntropyResponder.answerLeafHashes(from, request, out);
        } else if (message instanceof ShardMessage.SlotDigests digests) {
            antiEntropyRequester.receiveSlotDigests(nowUs, from, digests);
        } else if (message instanceof ShardMessage.EntryDigests digests) {
            antiEntropyRequester.receiveEntryDigests(from, digests);
        } else if (message instanceof ShardMessage.FetchRequest request) {
            antiEntropyResponder.answerFetchRequest(nowUs, from, request, out);
        } else if (message instanceof ShardMessage.Slots slots) {
            emptyIfOutdated(nowUs, slots.awayUs());
            if (!isOutdated(nowUs, slots.awayUs())) {
                slots.slots().forEach(aged -> slotStore.merge(nowUs, aged.slot(), aged.removedUs()));
                slots.slots().forEach(aged -> antiEntropyRequester.slotReceived(nowUs, from, aged.slot().key()));
            }
        }
    }

    private void receiveEntries(long nowUs, String from, ShardMessage.Entries message) {
        long transitUs = peers.roundTripUs(from) + catchUpState.possibleDelayUs(nowUs);
        for (Entry entry : message.facts()) {
            // A negative age stays as it is, so that the store refuses the entry.
            long ageUs = entry.ageUs() < 0 ? entry.ageUs() : entry.ageUs() + transitUs;
            Entry aged = new Entry(entry.key(), entry.incarnation(), entry.version(), entry.payload(), ageUs);
            entryStore.receive(nowUs, aged, !message.fetched(), out);
            if (message.fetched()) {
                antiEntropyRequester.entryReceived(entry.key());
            }
        }
    }

    /**
     * Empties this replica if it has been behind for so much longer than another member's that the other may have forgotten removals
     * that this one has missed.
     */
    private void emptyIfOutdated(long nowUs, long theirAwayUs) {
        if (isOutdated(theirAwayUs, catchUpState.awayUs(nowUs), settings)) {
            counters.increment("copy.emptied");
            slotStore.clear();
            catchUpState.recordEmptied(nowUs, theirAwayUs);
            antiEntropyRequester.reset(nowUs);
        }
    }

    /** Returns whether another member's replica is outdated: nothing is taken from it, and the other member will empty it. */
    private boolean isOutdated(long nowUs, long theirAwayUs) {
        return isOutdated(catchUpState.awayUs(nowUs), theirAwayUs, settings);
    }

    private static boolean isOutdated(long newerAwayUs, long olderAwayUs, ShardSettings settings) {
        // Half the duration for which removals are remembered leaves room for the ages that differ between members.
        return olderAwayUs - newerAwayUs > settings.removedKeyRetentionUs() / 2;
    }

    private void updateCaughtUp(long nowUs) {
        catchUpState.update(nowUs);
        if (catchUpState.isCaughtUp() != reportedCaughtUp) {
            reportedCaughtUp = catchUpState.isCaughtUp();
            out.add(new ShardAction.CaughtUpChanged(reportedCaughtUp));
            if (!reportedCaughtUp) {
                counters.increment("touch.lost");
                antiEntropyRequester.reset(nowUs);
            }
        }
    }

    /** Reports the orders in effect that have changed since they were last reported. Changes wait until this member is caught up. */
    private void reportOrders() {
        if (!catchUpState.isCaughtUp()) {
            return;
        }
        for (Order.Key key : slotStore.takeUnnotified()) {
            EffectiveOrder current = SlotMerge.effectiveOrder(slotStore.slot(key));
            EffectiveOrder reported = reportedOrders.get(key);
            if (current.chosen() == null) {
                reportedOrders.remove(key);
                if (reported != null && reported.payload() != null) {
                    out.add(new ShardAction.EffectiveOrderChanged(key, current));
                }
            } else if (!current.equals(reported)) {
                reportedOrders.put(key, current);
                out.add(new ShardAction.EffectiveOrderChanged(key, current));
            }
        }
    }
}

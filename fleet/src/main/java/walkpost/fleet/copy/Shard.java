package walkpost.fleet.copy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import walkpost.fleet.Machine;
import walkpost.fleet.member.Life;

/**
 * This member's replica of one shard of the fleet's state: the entries and orders whose keys {@link Shards#of} maps to the shard. Each
 * component owns one part of the state; this class passes events to the components and owns what has been reported to the process. See
 * {@code docs/fleet.md}.
 *
 * <p>Not thread-safe: the read methods need the same lock as {@link #handle}. The values that they return are immutable or copies.
 */
public final class Shard implements Machine<CopyEvent, CopyAction> {
    private final CopySettings settings;
    private final Figures counters = new Figures();
    private final Outbox out = new Outbox();
    private final Neighbours peers;
    private final Touch catchUpState;
    private final OrderBook slotStore;
    private final FactBook entryStore;
    private final Spread gossip;
    private final Promises acceptor;
    private final Proposals coordinator;
    private final Answers antiEntropyResponder;
    private final CatchUp antiEntropyRequester;
    private final Map<Order.Key, Acting> reportedOrders = new HashMap<>();
    private boolean reportedCaughtUp;

    /**
     * Creates an empty replica that is not caught up.
     *
     * @param self this member's name and incarnation
     * @param configured the names of the members whose majority acknowledges orders; this member need not be among them
     * @param seed the seed for the random choice of members to gossip to and to compare with
     */
    public Shard(CopySettings settings, Life self, Set<String> configured, long seed) {
        if (configured.isEmpty()) {
            throw new IllegalArgumentException("configured is empty, expected the name of at least one member");
        }
        this.settings = settings;
        peers = new Neighbours(self.name(), configured, settings.compareUs(), seed);
        catchUpState = new Touch(settings, peers, counters);
        slotStore = new OrderBook(settings, counters);
        gossip = new Spread(settings, peers);
        entryStore = new FactBook(settings, peers, counters, self, gossip::add);
        acceptor = new Promises(settings, catchUpState, slotStore);
        coordinator = new Proposals(settings, self, peers, catchUpState, slotStore, acceptor, counters);
        antiEntropyResponder = new Answers(catchUpState, slotStore, entryStore);
        antiEntropyRequester = new CatchUp(settings, peers, catchUpState, slotStore, entryStore);
    }

    @Override
    public void handle(long nowUs, CopyEvent event, Consumer<CopyAction> actions) {
        if (catchUpState.clock(nowUs)) {
            antiEntropyRequester.reset(nowUs);
        }
        coordinator.expire(nowUs, out);
        acceptor.expire(nowUs);
        if (event instanceof CopyEvent.Tick) {
            tick(nowUs);
        } else if (event instanceof CopyEvent.Received received) {
            catchUpState.heard(received.from(), nowUs);
            receive(nowUs, received.from(), received.message());
        } else if (event instanceof CopyEvent.Peers living) {
            peers.are(living.roundTripUs());
        } else if (event instanceof CopyEvent.Tell write) {
            Fact.Key key = entryStore.tell(nowUs, write.topic(), write.subject(), write.payload());
            if (key != null) {
                gossip.first(nowUs, key, entryStore, out);
            }
        } else if (event instanceof CopyEvent.Propose propose) {
            coordinator.propose(nowUs, propose, out);
        } else if (event instanceof CopyEvent.Offered offered) {
            offered.slots().forEach(slot -> slotStore.merge(nowUs, slot, 0));
        } else if (event instanceof CopyEvent.Restored restored) {
            catchUpState.restored(nowUs, restored.awayUs());
            restored.slots().forEach(slot -> slotStore.merge(nowUs, slot, 0));
            slotStore.takeUnsaved();
        }
        updateCaughtUp(nowUs);
        coordinator.review(nowUs, out);
        entryStore.due(nowUs, out);
        reportOrders();
        out.release(slotStore.takeUnsaved(), actions);
    }

    /** Returns the order in effect for each key, in this replica; for removed keys that are still remembered, the payload is null. */
    public Map<Order.Key, Acting> acting() {
        return slotStore.acting();
    }

    /** Returns the entries of a topic that are not withdrawn, stale ones included, with their ages at {@code nowUs}. */
    public List<Fact> facts(String topic, long nowUs) {
        return entryStore.facts(topic, nowUs);
    }

    /** Returns whether this replica has caught up with a majority of the configured members. */
    public boolean level() {
        return catchUpState.level();
    }

    /** Returns the number of configured members, this one included, with which this replica has been compared. */
    public int compared() {
        return catchUpState.compared();
    }

    /** Returns all slots, for a snapshot. */
    public List<Slot> slots() {
        return slotStore.slots();
    }

    /** Returns the counters by name, and the numbers of entries, slots and queued fetches. */
    public Map<String, Long> figures() {
        Map<String, Long> all = counters.all();
        all.put("facts", (long) entryStore.size());
        all.put("slots", (long) slotStore.slots().size());
        all.put("fetches.waiting", (long) antiEntropyRequester.waiting());
        return all;
    }

    private void tick(long nowUs) {
        slotStore.forget(nowUs);
        gossip.round(nowUs, entryStore, out);
        antiEntropyRequester.tick(nowUs, out);
    }

    private void receive(long nowUs, String from, CopyMessage message) {
        if (message instanceof CopyMessage.Facts entries) {
            receiveEntries(nowUs, from, entries);
        } else if (message instanceof CopyMessage.Propose proposal) {
            emptyIfOutdated(nowUs, 0);
            slotStore.merge(nowUs, proposal.slot(), 0);
            out.send(from, acceptor.answer(nowUs, proposal));
        } else if (message instanceof CopyMessage.Promised promised) {
            coordinator.yes(nowUs, from, promised.round(), promised.id(), false, out);
        } else if (message instanceof CopyMessage.Declined declined) {
            if (declined.slot() != null) {
                slotStore.merge(nowUs, declined.slot(), 0);
            }
            coordinator.no(from, declined);
        } else if (message instanceof CopyMessage.Forget release) {
            acceptor.forget(release.key(), from, release.incarnation(), release.round());
        } else if (message instanceof CopyMessage.Hold commit) {
            emptyIfOutdated(nowUs, 0);
            slotStore.merge(nowUs, commit.slot(), 0);
            acceptor.decided(commit.slot().key(), commit.id());
            if (catchUpState.level()) {
                out.send(from, new CopyMessage.Held(commit.round(), commit.id()));
            }
        } else if (message instanceof CopyMessage.Held committed) {
            coordinator.yes(nowUs, from, committed.round(), committed.id(), true, out);
        } else {
            receiveAntiEntropy(nowUs, from, message);
        }
    }

    private void receiveAntiEntropy(long nowUs, String from, CopyMessage message) {
        if (message instanceof CopyMessage.Compare request) {
            emptyIfOutdated(nowUs, request.awayUs());
            antiEntropyResponder.compare(nowUs, from, request, out);
        } else if (message instanceof CopyMessage.Nodes nodes) {
            emptyIfOutdated(nowUs, nodes.awayUs());
            if (!isOutdated(nowUs, nodes.awayUs())) {
                antiEntropyRequester.nodes(nowUs, from, nodes, out);
            }
        } else if (message instanceof CopyMessage.Leaves request) {
            antiEntropyResponder.leaves(from, request, out);
        } else if (message instanceof CopyMessage.SlotStamps digests) {
            antiEntropyRequester.slotStamps(nowUs, from, digests);
        } else if (message instanceof CopyMessage.FactStamps digests) {
            antiEntropyRequester.factStamps(from, digests);
        } else if (message instanceof CopyMessage.Want request) {
            antiEntropyResponder.want(nowUs, from, request, out);
        } else if (message instanceof CopyMessage.Slots slots) {
            emptyIfOutdated(nowUs, slots.awayUs());
            if (!isOutdated(nowUs, slots.awayUs())) {
                slots.slots().forEach(aged -> slotStore.merge(nowUs, aged.slot(), aged.removedUs()));
                slots.slots().forEach(aged -> antiEntropyRequester.slot(nowUs, from, aged.slot().key()));
            }
        }
    }

    private void receiveEntries(long nowUs, String from, CopyMessage.Facts message) {
        long transitUs = peers.roundTripUs(from) + catchUpState.waitedUs(nowUs);
        for (Fact entry : message.facts()) {
            // A negative age stays as it is, so that the store refuses the entry.
            long ageUs = entry.ageUs() < 0 ? entry.ageUs() : entry.ageUs() + transitUs;
            Fact aged = new Fact(entry.key(), entry.incarnation(), entry.version(), entry.payload(), ageUs);
            entryStore.take(nowUs, aged, !message.fetched(), out);
            if (message.fetched()) {
                antiEntropyRequester.fact(entry.key());
            }
        }
    }

    /**
     * Empties this replica if it has been behind for so much longer than another member's that the other may have forgotten removals
     * that this one has missed.
     */
    private void emptyIfOutdated(long nowUs, long theirAwayUs) {
        if (isOutdated(theirAwayUs, catchUpState.awayUs(nowUs), settings)) {
            counters.count("copy.emptied");
            slotStore.clear();
            catchUpState.emptied(nowUs, theirAwayUs);
            antiEntropyRequester.reset(nowUs);
        }
    }

    /** Returns whether another member's replica is outdated: nothing is taken from it, and the other member will empty it. */
    private boolean isOutdated(long nowUs, long theirAwayUs) {
        return isOutdated(catchUpState.awayUs(nowUs), theirAwayUs, settings);
    }

    private static boolean isOutdated(long newerAwayUs, long olderAwayUs, CopySettings settings) {
        // Half the duration for which removals are remembered leaves room for the ages that differ between members.
        return olderAwayUs - newerAwayUs > settings.removalUs() / 2;
    }

    private void updateCaughtUp(long nowUs) {
        catchUpState.settle(nowUs);
        if (catchUpState.level() != reportedCaughtUp) {
            reportedCaughtUp = catchUpState.level();
            out.tell(new CopyAction.Level(reportedCaughtUp));
            if (!reportedCaughtUp) {
                counters.count("touch.lost");
                antiEntropyRequester.reset(nowUs);
            }
        }
    }

    /** Reports the orders in effect that have changed since they were last reported. Changes wait until this member is caught up. */
    private void reportOrders() {
        if (!catchUpState.level()) {
            return;
        }
        for (Order.Key key : slotStore.takeUntold()) {
            Acting current = SlotRule.acting(slotStore.slot(key));
            Acting reported = reportedOrders.get(key);
            if (current.chosen() == null) {
                reportedOrders.remove(key);
                if (reported != null && reported.payload() != null) {
                    out.tell(new CopyAction.Stands(key, current));
                }
            } else if (!current.equals(reported)) {
                reportedOrders.put(key, current);
                out.tell(new CopyAction.Stands(key, current));
            }
        }
    }
}

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
 * One share of what members know together: facts and orders on the keys that {@link Shards#of} gives to it. Its parts own one state
 * each; this class hands events to them and owns what has been told to the process. See {@code docs/fleet.md}.
 *
 * <p>Readers are to be called by whoever may call {@link #handle}, under the same lock; what they return stays as it is.
 */
public final class Shard implements Machine<CopyEvent, CopyAction> {
    private final CopySettings settings;
    private final Figures figures = new Figures();
    private final Outbox out = new Outbox();
    private final Neighbours neighbours;
    private final Touch touch;
    private final OrderBook book;
    private final FactBook facts;
    private final Spread spread;
    private final Promises promises;
    private final Proposals proposals;
    private final Answers answers;
    private final CatchUp catchUp;
    private final Map<Order.Key, Acting> told = new HashMap<>();
    private boolean toldLevel;

    /**
     * Makes a shard that holds nothing and is not level.
     *
     * @param self this member's name and incarnation
     * @param configured the names whose majority acknowledges; this one's may be missing
     * @param seed of the random choice of whom to tell and to ask
     */
    public Shard(CopySettings settings, Life self, Set<String> configured, long seed) {
        if (configured.isEmpty()) {
            throw new IllegalArgumentException("a fleet needs a configured member");
        }
        this.settings = settings;
        neighbours = new Neighbours(self.name(), configured, settings.compareUs(), seed);
        touch = new Touch(settings, neighbours, figures);
        book = new OrderBook(settings, figures);
        spread = new Spread(settings, neighbours);
        facts = new FactBook(settings, neighbours, figures, self, spread::add);
        promises = new Promises(settings, touch, book);
        proposals = new Proposals(settings, self, neighbours, touch, book, promises, figures);
        answers = new Answers(touch, book, facts);
        catchUp = new CatchUp(settings, neighbours, touch, book, facts);
    }

    @Override
    public void handle(long nowUs, CopyEvent event, Consumer<CopyAction> actions) {
        if (touch.clock(nowUs)) {
            catchUp.reset(nowUs);
        }
        proposals.expire(nowUs, out);
        promises.expire(nowUs);
        if (event instanceof CopyEvent.Tick) {
            tick(nowUs);
        } else if (event instanceof CopyEvent.Received received) {
            touch.heard(received.from(), nowUs);
            receive(nowUs, received.from(), received.message());
        } else if (event instanceof CopyEvent.Peers peers) {
            neighbours.are(peers.roundTripUs());
        } else if (event instanceof CopyEvent.Tell tell) {
            Fact.Key key = facts.tell(nowUs, tell.topic(), tell.subject(), tell.payload());
            if (key != null) {
                spread.first(nowUs, key, facts, out);
            }
        } else if (event instanceof CopyEvent.Propose propose) {
            proposals.propose(nowUs, propose, out);
        } else if (event instanceof CopyEvent.Offered offered) {
            offered.slots().forEach(slot -> book.merge(nowUs, slot, 0));
        } else if (event instanceof CopyEvent.Restored restored) {
            touch.restored(nowUs, restored.awayUs());
            restored.slots().forEach(slot -> book.merge(nowUs, slot, 0));
            book.takeUnsaved();
        }
        settle(nowUs);
        proposals.review(nowUs, out);
        facts.due(nowUs, out);
        tellOrders();
        out.release(book.takeUnsaved(), actions);
    }

    /** Returns what stands, by key, as this copy has it; removals that are remembered are among them, with no payload. */
    public Map<Order.Key, Acting> acting() {
        return book.acting();
    }

    /** Returns the facts on a topic that are not withdrawn, their ages counted to now; those past their bound are among them. */
    public List<Fact> facts(String topic, long nowUs) {
        return facts.facts(topic, nowUs);
    }

    /** Returns whether this shard has caught up with a majority of the configured members. */
    public boolean level() {
        return touch.level();
    }

    /** Returns with how many configured members it is compared, itself counted. */
    public int compared() {
        return touch.compared();
    }

    /** Returns all slots, for a snapshot. */
    public List<Slot> slots() {
        return book.slots();
    }

    /** Returns counts by name, and how much is held and waited for. */
    public Map<String, Long> figures() {
        Map<String, Long> all = figures.all();
        all.put("facts", (long) facts.size());
        all.put("slots", (long) book.slots().size());
        all.put("fetches.waiting", (long) catchUp.waiting());
        return all;
    }

    private void tick(long nowUs) {
        book.forget(nowUs);
        spread.round(nowUs, facts, out);
        catchUp.tick(nowUs, out);
    }

    private void receive(long nowUs, String from, CopyMessage message) {
        if (message instanceof CopyMessage.Facts told) {
            hear(nowUs, from, told);
        } else if (message instanceof CopyMessage.Propose proposal) {
            renew(nowUs, 0);
            book.merge(nowUs, proposal.slot(), 0);
            out.send(from, promises.answer(nowUs, proposal));
        } else if (message instanceof CopyMessage.Promised promised) {
            proposals.yes(nowUs, from, promised.round(), promised.id(), false, out);
        } else if (message instanceof CopyMessage.Declined declined) {
            if (declined.slot() != null) {
                book.merge(nowUs, declined.slot(), 0);
            }
            proposals.no(from, declined);
        } else if (message instanceof CopyMessage.Forget forget) {
            promises.forget(forget.key(), from, forget.incarnation(), forget.round());
        } else if (message instanceof CopyMessage.Hold hold) {
            renew(nowUs, 0);
            book.merge(nowUs, hold.slot(), 0);
            promises.decided(hold.slot().key(), hold.id());
            if (touch.level()) {
                out.send(from, new CopyMessage.Held(hold.round(), hold.id()));
            }
        } else if (message instanceof CopyMessage.Held held) {
            proposals.yes(nowUs, from, held.round(), held.id(), true, out);
        } else {
            compare(nowUs, from, message);
        }
    }

    private void compare(long nowUs, String from, CopyMessage message) {
        if (message instanceof CopyMessage.Compare asked) {
            renew(nowUs, asked.awayUs());
            answers.compare(nowUs, from, asked, out);
        } else if (message instanceof CopyMessage.Nodes nodes) {
            renew(nowUs, nodes.awayUs());
            if (!outdated(nowUs, nodes.awayUs())) {
                catchUp.nodes(nowUs, from, nodes, out);
            }
        } else if (message instanceof CopyMessage.Leaves leaves) {
            answers.leaves(from, leaves, out);
        } else if (message instanceof CopyMessage.SlotStamps stamps) {
            catchUp.slotStamps(nowUs, from, stamps);
        } else if (message instanceof CopyMessage.FactStamps stamps) {
            catchUp.factStamps(from, stamps);
        } else if (message instanceof CopyMessage.Want want) {
            answers.want(nowUs, from, want, out);
        } else if (message instanceof CopyMessage.Slots slots) {
            renew(nowUs, slots.awayUs());
            if (!outdated(nowUs, slots.awayUs())) {
                slots.slots().forEach(aged -> book.merge(nowUs, aged.slot(), aged.removedUs()));
                slots.slots().forEach(aged -> catchUp.slot(nowUs, from, aged.slot().key()));
            }
        }
    }

    private void hear(long nowUs, String from, CopyMessage.Facts told) {
        long wayUs = neighbours.roundTripUs(from) + touch.waitedUs(nowUs);
        for (Fact fact : told.facts()) {
            long ageUs = fact.ageUs() < 0 ? fact.ageUs() : fact.ageUs() + wayUs;
            Fact here = new Fact(fact.key(), fact.incarnation(), fact.version(), fact.payload(), ageUs);
            facts.take(nowUs, here, !told.fetched(), out);
            if (told.fetched()) {
                catchUp.fact(fact.key());
            }
        }
    }

    /**
     * Empties a copy that was away for so much longer than another that the other may have forgotten what was removed meanwhile. Half
     * the memory of removals leaves room for the ages that differ between members.
     */
    private void renew(long nowUs, long theirsUs) {
        if (outdated(theirsUs, touch.awayUs(nowUs), settings)) {
            figures.count("copy.emptied");
            book.clear();
            touch.emptied(nowUs, theirsUs);
            catchUp.reset(nowUs);
        }
    }

    /** Whether another's copy is that much older: nothing is taken from it, and it will empty itself. */
    private boolean outdated(long nowUs, long theirsUs) {
        return outdated(touch.awayUs(nowUs), theirsUs, settings);
    }

    private static boolean outdated(long newerUs, long olderUs, CopySettings settings) {
        return olderUs - newerUs > settings.removalUs() / 2;
    }

    private void settle(long nowUs) {
        touch.settle(nowUs);
        if (touch.level() != toldLevel) {
            toldLevel = touch.level();
            out.tell(new CopyAction.Level(toldLevel));
            if (!toldLevel) {
                figures.count("touch.lost");
                catchUp.reset(nowUs);
            }
        }
    }

    /** Tells what is to be acted on and was not told like that before; what changes meanwhile waits until this member is level. */
    private void tellOrders() {
        if (!touch.level()) {
            return;
        }
        for (Order.Key key : book.takeUntold()) {
            Acting acting = SlotRule.acting(book.slot(key));
            Acting before = told.get(key);
            if (acting.chosen() == null) {
                told.remove(key);
                if (before != null && before.payload() != null) {
                    out.tell(new CopyAction.Stands(key, acting));
                }
            } else if (!acting.equals(before)) {
                told.put(key, acting);
                out.tell(new CopyAction.Stands(key, acting));
            }
        }
    }
}

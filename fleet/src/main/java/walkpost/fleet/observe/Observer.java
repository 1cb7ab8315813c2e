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
 * A member without a vote: it keeps a copy of all shards' orders by way of two voters, its feeds, whatever the number of members or
 * shards. See {@code docs/fleet.md}. Its parts own one state each; this class owns what has been told to the process, and how sure it is
 * of its copy.
 *
 * <p>Slots are joined, never replaced, so that no voter, however far behind, takes it back. What it was told is acted on until something
 * newer comes, also where no voter is in reach.
 *
 * <p>Readers are to be called by whoever may call {@link #handle}, under the same lock; what they return stays as it is.
 */
public final class Observer implements StateMachine<ObserverEvent, ObserverAction> {
    /** The age of a copy that never was level: huge, and small enough for sums. */
    public static final long NEVER_US = Long.MAX_VALUE / 4;
    /** A step of the clock that is no mere slowness. */
    private static final long GAP_US = 1_000_000;

    private final ObserveSettings settings;
    private final Set<String> voters;
    private final ObserveCounters counters = new ObserveCounters();
    private final SlotTable table = new SlotTable();
    private final FeedSubscriptions subscriptions;
    private final SlotSyncClient slotSync;
    private final OrderForwarder orderForwarder;
    private final OwnEntries ownEntries;
    private final Map<Order.Key, EffectiveOrder> told = new HashMap<>();
    private final Set<Order.Key> untold = new LinkedHashSet<>();
    private Map<String, Integer> lives = Map.of();
    /** Whether the copy was once equal to a level voter's: then what it holds may be acted on. */
    private boolean sure;
    private boolean level;
    private long equalUs;
    private long lastUs = Long.MIN_VALUE;

    /**
     * Makes an observer that holds nothing.
     *
     * @param self this member's name and incarnation
     * @param region where it runs; empty where the file names none
     * @param voters all voters' names; this one's is not among them
     * @param seed of the random choice among voters and of back-offs
     */
    public Observer(ObserveSettings settings, Life self, String region, Set<String> voters, long seed) {
        if (voters.isEmpty() || voters.contains(self.name())) {
            throw new IllegalArgumentException("an observer needs voters, and is none of them");
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
        clock(nowUs);
        MessageSender sender = (to, message) -> actions.accept(new ObserverAction.Send(to, message));
        if (event instanceof ObserverEvent.Tick) {
            tick(nowUs, sender, actions);
        } else if (event instanceof ObserverEvent.Voters living) {
            subscriptions.living(new TreeSet<>(living.roundTripUs().keySet().stream().filter(voters::contains).toList()));
        } else if (event instanceof ObserverEvent.Received received) {
            if (voters.contains(received.from())) {
                receive(nowUs, received.from(), received.message(), sender, actions);
            } else {
                counters.increment("dropped.no_voter");
            }
        } else if (event instanceof ObserverEvent.WriteEntry tell) {
            ownEntries.write(nowUs, tell.topic(), tell.subject(), tell.payload());
        } else if (event instanceof ObserverEvent.Propose propose) {
            orderForwarder.propose(nowUs, propose);
            orderForwarder.tick(nowUs, subscriptions.inTurn(), controlAgeUs(nowUs), sender, actions);
        }
        settle(nowUs, actions);
    }

    /** Returns whether this copy was found equal to a level voter's, and no silence since has put that in doubt. */
    public boolean isCaughtUp() {
        return level;
    }

    /** Returns how long ago this copy was last known to be the fleet's, in microseconds; {@link #NEVER_US} where it never was. */
    public long controlAgeUs(long nowUs) {
        return sure ? nowUs - equalUs : NEVER_US;
    }

    /** Returns what stands, by key; removals that are remembered are among them, with no payload. */
    public Map<Order.Key, EffectiveOrder> effectiveOrders() {
        return table.effectiveOrders();
    }

    /** Returns the voters that feed this observer now, the one that counts it first. */
    public List<String> feeds() {
        return subscriptions.joined();
    }

    /** Returns how many observers live by region, as the voters say; empty where that is not known. */
    public Map<String, Integer> lives() {
        return lives;
    }

    /** Returns counts by name. */
    public Map<String, Long> figures() {
        Map<String, Long> all = counters.snapshot();
        all.put("slots", (long) table.size());
        return all;
    }

    /** Returns an age in words, for people. */
    public static String words(long ageUs) {
        return ageUs >= NEVER_US ? "never" : ageUs / 1_000_000 + " s ago";
    }

    private void clock(long nowUs) {
        if (lastUs != Long.MIN_VALUE && nowUs - lastUs > GAP_US) {
            counters.increment("stood_still");
            subscriptions.stoodStill(nowUs - lastUs);
        }
        lastUs = nowUs;
    }

    private void tick(long nowUs, MessageSender sender, Consumer<ObserverAction> actions) {
        table.forget(nowUs, settings.removalUs());
        subscriptions.tick(nowUs, table.tree().root(), controlAgeUs(nowUs), sender);
        ownEntries.tick(nowUs, subscriptions.joined(), subscriptions, sender);
        orderForwarder.tick(nowUs, subscriptions.inTurn(), controlAgeUs(nowUs), sender, actions);
    }

    private void receive(long nowUs, String from, ObserveMessage message, MessageSender sender, Consumer<ObserverAction> actions) {
        if (message instanceof ObserveMessage.Echo echo) {
            echo(nowUs, from, echo, sender, actions);
        } else if (message instanceof ObserveMessage.Push push) {
            push.slots().forEach(slot -> join(nowUs, slot));
            sender.send(from, new ObserveMessage.Taken(push.number()));
        } else if (message instanceof ObserveMessage.Stamps stamps) {
            if (slotSync.stamps(nowUs, from, stamps, controlAgeUs(nowUs), sender)) {
                subscriptions.beatSoon(nowUs, from);
            }
        } else if (message instanceof ObserveMessage.Slots slots) {
            slots(nowUs, from, slots, sender);
        } else if (message instanceof ObserveMessage.Answer answer) {
            orderForwarder.answer(nowUs, from, answer, actions);
        } else if (message instanceof ObserveMessage.Welcome welcome) {
            if (subscriptions.welcome(nowUs, from, welcome)) {
                ownEntries.all(nowUs, from, subscriptions, sender);
            }
        } else if (message instanceof ObserveMessage.Later later) {
            subscriptions.later(nowUs, from, later, sender);
        } else {
            counters.increment("dropped.not_for_observers");
        }
    }

    private void echo(long nowUs, String from, ObserveMessage.Echo echo, MessageSender sender, Consumer<ObserverAction> actions) {
        Long askedUs = subscriptions.echo(nowUs, from, echo.seq());
        if (askedUs == null || !echo.level()) {
            // A voter that is not level may be behind: it tells nothing of what the fleet holds.
            return;
        }
        if (!echo.lives().isEmpty() && !echo.lives().equals(lives)) {
            lives = echo.lives();
            actions.accept(new ObserverAction.Lives(lives));
        }
        if (echo.nodes().length == 0) {
            equalUs = sure ? Math.max(equalUs, askedUs) : askedUs;
            sure = true;
            return;
        }
        if (sure && nowUs - equalUs - Math.max(0, echo.awayUs()) > settings.removalUs() / 2) {
            // So long away that what was removed meanwhile may be forgotten by now. What was told is acted on until the copy is whole.
            counters.increment("copy.emptied");
            untold.addAll(table.clear());
            sure = false;
        }
        slotSync.nodes(nowUs, from, echo.seq(), echo.nodes(), sender);
    }

    private void slots(long nowUs, String from, ObserveMessage.Slots slots, MessageSender sender) {
        List<Slot> more = new ArrayList<>();
        boolean changed = false;
        for (Slot slot : slots.slots()) {
            changed |= join(nowUs, slot);
            Slot joined = table.slot(slot.key());
            // Where nothing stands on either side, each forgets that by itself; but a removal ends what stands at the voter.
            boolean nothing = SlotMerge.isRemoved(slot) && SlotMerge.isRemoved(joined);
            if (!slot.hasNoHistory() && !nothing && !joined.equals(SlotMerge.join(slot, slot))) {
                more.add(joined);
            }
        }
        if (sure) {
            slotSync.more(from, controlAgeUs(nowUs), more, sender);
        }
        if (slotSync.slots(nowUs, from, slots.slots(), changed, sender)) {
            subscriptions.beatSoon(nowUs, from);
        }
    }

    private boolean join(long nowUs, Slot slot) {
        boolean changed = table.join(nowUs, slot);
        if (changed) {
            untold.add(slot.key());
        }
        return changed;
    }

    private void settle(long nowUs, Consumer<ObserverAction> actions) {
        boolean now = sure && nowUs - equalUs <= settings.silenceUs() + settings.beatUs();
        if (sure) {
            tellOrders(actions);
        }
        if (now != level) {
            level = now;
            counters.increment(now ? "level.reached" : "level.lost");
            actions.accept(new ObserverAction.CaughtUpChanged(now));
            if (!now && !lives.isEmpty()) {
                lives = Map.of();
                actions.accept(new ObserverAction.Lives(lives));
            }
        }
    }

    private void tellOrders(Consumer<ObserverAction> actions) {
        for (Order.Key key : untold) {
            EffectiveOrder acting = SlotMerge.effectiveOrder(table.slot(key));
            EffectiveOrder before = told.get(key);
            if (acting.chosen() == null) {
                told.remove(key);
                if (before != null && before.payload() != null) {
                    actions.accept(new ObserverAction.EffectiveOrderChanged(key, acting));
                }
            } else if (!acting.equals(before)) {
                told.put(key, acting);
                actions.accept(new ObserverAction.EffectiveOrderChanged(key, acting));
            }
        }
        untold.clear();
    }
}

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
 * A voter's side of observers: takes them up to a bound, answers their beats from one table of what stands in all shards, pushes
 * what changes, takes their orders and reportedEntries. It votes on nothing: what observers offer or order goes to the shards, which know
 * voters only. See {@code docs/fleet.md}. Its parts own one state each; this class owns whether the voter is level.
 *
 * <p>Readers are to be called by whoever may call {@link #handle}, under the same lock; what they return stays as it is.
 */
public final class Feed implements StateMachine<FeedEvent, FeedAction> {
    /** A step of the clock that is no mere slowness. */
    private static final long GAP_US = 1_000_000;
    /** Operators' questions that are answered in a second. */
    private static final int QUESTIONS_PER_SECOND = 20;
    /** Names of observers that lack an order, in one answer. */
    private static final int MOST_NAMED = 50;

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
    private final TokenBucket questions = new TokenBucket(QUESTIONS_PER_SECOND);
    private Set<String> others = Set.of();
    private boolean level;
    private long levelUs = Long.MIN_VALUE;
    private long lastUs = Long.MIN_VALUE;

    /**
     * Makes a feed without observers.
     *
     * @param self this voter's name
     * @param region where it runs; empty where the file names none
     * @param voters all voters' names, this one's among them
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
        if (lastUs != Long.MIN_VALUE && nowUs - lastUs > GAP_US) {
            counters.increment("stood_still");
            subscribers.stoodStill(nowUs - lastUs);
        }
        lastUs = nowUs;
        forwardedOrders.clock(nowUs);
        MessageSender sender = (to, message) -> actions.accept(new FeedAction.Send(to, message));
        if (event instanceof FeedEvent.Tick) {
            table.forget(nowUs, settings.removalUs());
            subscribers.tick(nowUs, table, awayUs(nowUs), sender);
            reportedEntries.forget(nowUs, subscribers);
            forwardedOrders.tick(nowUs);
            observerCensus.tick(nowUs, others, subscribers.byRegion(), sender);
        } else if (event instanceof FeedEvent.Received received) {
            receive(nowUs, received.from(), received.message(), sender, actions);
        } else if (event instanceof FeedEvent.Asked asked) {
            if (questions.take(nowUs, 1)) {
                answerEntries(nowUs, asked.from(), asked.question(), asked.own(), sender);
            }
        } else if (event instanceof FeedEvent.Changed changed) {
            changed(nowUs, changed.slots(), sender);
        } else if (event instanceof FeedEvent.CaughtUpChanged now) {
            levelUs = level ? nowUs : levelUs;
            level = now.level();
        } else if (event instanceof FeedEvent.Voters living) {
            others = new TreeSet<>(living.names().stream().filter(name -> voters.contains(name) && !name.equals(self)).toList());
        } else if (event instanceof FeedEvent.Acknowledged acknowledged) {
            forwardedOrders.acknowledged(nowUs, acknowledged.id(), acknowledged.order(), sender);
        } else if (event instanceof FeedEvent.Refused refused) {
            forwardedOrders.refused(nowUs, refused.id(), refused.why(), sender);
        }
    }

    /** Returns how many observers live by region, as all voters together know. */
    public Map<String, Integer> lives(long nowUs) {
        return observerCensus.lives(nowUs, subscribers.byRegion());
    }

    /** Returns counts by name, {@code observers} among them. */
    public Map<String, Long> figures() {
        Map<String, Long> all = counters.snapshot();
        all.put("observers", (long) subscribers.size());
        all.put("facts", (long) reportedEntries.size());
        all.put("slots", (long) table.size());
        return all;
    }

    private long awayUs(long nowUs) {
        return level ? 0 : levelUs == Long.MIN_VALUE ? Observer.NEVER_US : nowUs - levelUs;
    }

    private void changed(long nowUs, List<Slot> slots, MessageSender sender) {
        slots.forEach(slot -> table.put(nowUs, slot));
        // What is forgotten is nobody's news: each forgets removals by itself.
        subscribers.push(nowUs, slots.stream().filter(slot -> !slot.hasNoHistory()).toList(), awayUs(nowUs), sender);
    }

    private void receive(long nowUs, String from, ObserveMessage message, MessageSender sender, Consumer<FeedAction> actions) {
        if (message instanceof ObserveMessage.AskEntries asked) {
            if (questions.take(nowUs, 1)) {
                answerEntries(nowUs, from, asked, List.of(), sender);
            }
        } else if (message instanceof ObserveMessage.AskHeld asked) {
            if (questions.take(nowUs, 1)) {
                held(from, asked, sender);
            }
        } else if (message instanceof ObserveMessage.Sum sum) {
            if (voters.contains(from)) {
                observerCensus.take(nowUs, from, sum);
            } else {
                counters.increment("dropped.no_voter");
            }
        } else if (voters.contains(from)) {
            // A voter that takes itself for an observer has another file than this one.
            counters.increment("dropped.voter_as_observer");
        } else {
            observer(nowUs, from, message, sender, actions);
        }
    }

    private void observer(long nowUs, String from, ObserveMessage message, MessageSender sender, Consumer<FeedAction> actions) {
        if (message instanceof ObserveMessage.Beat beat) {
            boolean known = subscribers.beat(nowUs, from, beat.primary(), level && slotSync.equal(beat.root()));
            sender.send(from, known
                    ? new ObserveMessage.Echo(beat.seq(), level, awayUs(nowUs), slotSync.nodes(beat.root()), lives(nowUs))
                    : new ObserveMessage.Later(beat.seq(), ObserveMessage.Reason.UNKNOWN, 0));
        } else if (message instanceof ObserveMessage.Join join) {
            ObserveMessage.Later refusal = subscribers.join(nowUs, from, join);
            sender.send(from, refusal != null ? refusal : new ObserveMessage.Welcome(join.seq(), observerCensus.regions()));
        } else if (message instanceof ObserveMessage.Leave) {
            subscribers.leave(from);
        } else if (message instanceof ObserveMessage.Taken taken) {
            subscribers.taken(from, taken.number());
        } else if (message instanceof ObserveMessage.Report report) {
            reportedEntries.take(nowUs, from, report.facts());
        } else if (message instanceof ObserveMessage.Leaves leaves) {
            slotSync.leaves(from, leaves, sender);
        } else if (message instanceof ObserveMessage.Want want) {
            slotSync.want(from, want, awayUs(nowUs), sender);
        } else if (message instanceof ObserveMessage.Offer offer) {
            List<Slot> more = slotSync.offered(nowUs, from, offer, awayUs(nowUs), sender);
            if (!more.isEmpty()) {
                counters.increment("offers.taken");
                actions.accept(new FeedAction.Offer(more));
            }
        } else if (message instanceof ObserveMessage.Call call) {
            if (forwardedOrders.take(nowUs, from, call, sender)) {
                actions.accept(new FeedAction.Propose(call.key(), call.id(), call.replaces(), call.payload()));
            }
        } else {
            counters.increment("dropped.not_for_voters");
        }
    }

    private void answerEntries(long nowUs, String from, ObserveMessage.AskEntries asked, List<Entry> own, MessageSender sender) {
        List<Entry> all = new ArrayList<>(own);
        if (asked.topic() != null) {
            all.addAll(reportedEntries.on(asked.topic(), nowUs));
        }
        List<List<Entry>> parts = MessageSizes.split(all, MessageSizes::bytesOf);
        if (parts.isEmpty()) {
            parts.add(List.of());
        }
        for (int part = 0; part < parts.size(); part++) {
            sender.send(from, new ObserveMessage.Entries(asked.seq(), part, parts.size(), parts.get(part)));
        }
    }

    private void held(String from, ObserveMessage.AskHeld asked, MessageSender sender) {
        Slot slot = table.slot(asked.key());
        boolean here = slot.heads().stream().map(Order::id).anyMatch(asked.id()::equals) || slot.replaced().containsKey(asked.id());
        List<String> lacking = new ArrayList<>();
        if (!here) {
            lacking.add(self);
        }
        subscribers.counted().stream().filter(name -> !here || !subscribers.holds(name, asked.key())).forEach(lacking::add);
        int of = subscribers.counted().size() + 1;
        sender.send(from, new ObserveMessage.Held(asked.seq(), of - lacking.size(), of,
                lacking.subList(0, Math.min(MOST_NAMED, lacking.size()))));
    }
}

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
 * what changes, takes their orders and reports. It votes on nothing: what observers offer or order goes to the shards, which know
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
    private final Counts counts = new Counts();
    private final SlotTable table = new SlotTable();
    private final Attached attached;
    private final Comparing comparing;
    private final Reports reports = new Reports(counts);
    private final Proxied proxied = new Proxied(counts);
    private final Sums sums;
    private final Bucket questions = new Bucket(QUESTIONS_PER_SECOND);
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
        attached = new Attached(settings, counts);
        comparing = new Comparing(settings, table, counts);
        sums = new Sums(settings, self, region);
    }

    @Override
    public void handle(long nowUs, FeedEvent event, Consumer<FeedAction> actions) {
        if (lastUs != Long.MIN_VALUE && nowUs - lastUs > GAP_US) {
            counts.count("stood_still");
            attached.stoodStill(nowUs - lastUs);
        }
        lastUs = nowUs;
        proxied.clock(nowUs);
        Send send = (to, message) -> actions.accept(new FeedAction.Send(to, message));
        if (event instanceof FeedEvent.Tick) {
            table.forget(nowUs, settings.removalUs());
            attached.tick(nowUs, table, awayUs(nowUs), send);
            reports.forget(nowUs, attached);
            proxied.tick(nowUs);
            sums.tick(nowUs, others, attached.byRegion(), send);
        } else if (event instanceof FeedEvent.Received received) {
            receive(nowUs, received.from(), received.message(), send, actions);
        } else if (event instanceof FeedEvent.Asked asked) {
            if (questions.take(nowUs, 1)) {
                answerEntries(nowUs, asked.from(), asked.question(), asked.own(), send);
            }
        } else if (event instanceof FeedEvent.Changed changed) {
            changed(nowUs, changed.slots(), send);
        } else if (event instanceof FeedEvent.CaughtUpChanged now) {
            levelUs = level ? nowUs : levelUs;
            level = now.caughtUp();
        } else if (event instanceof FeedEvent.Voters living) {
            others = new TreeSet<>(living.names().stream().filter(name -> voters.contains(name) && !name.equals(self)).toList());
        } else if (event instanceof FeedEvent.Acknowledged acknowledged) {
            proxied.acknowledged(nowUs, acknowledged.id(), acknowledged.order(), send);
        } else if (event instanceof FeedEvent.Refused refused) {
            proxied.refused(nowUs, refused.id(), refused.why(), send);
        }
    }

    /** Returns how many observers live by region, as all voters together know. */
    public Map<String, Integer> lives(long nowUs) {
        return sums.lives(nowUs, attached.byRegion());
    }

    /** Returns counts by name, {@code observers} among them. */
    public Map<String, Long> figures() {
        Map<String, Long> all = counts.all();
        all.put("observers", (long) attached.size());
        all.put("facts", (long) reports.size());
        all.put("slots", (long) table.size());
        return all;
    }

    private long awayUs(long nowUs) {
        return level ? 0 : levelUs == Long.MIN_VALUE ? Observer.NEVER_US : nowUs - levelUs;
    }

    private void changed(long nowUs, List<Slot> slots, Send send) {
        slots.forEach(slot -> table.put(nowUs, slot));
        // What is forgotten is nobody's news: each forgets removals by itself.
        attached.push(nowUs, slots.stream().filter(slot -> !slot.hasNoHistory()).toList(), awayUs(nowUs), send);
    }

    private void receive(long nowUs, String from, ObserveMessage message, Send send, Consumer<FeedAction> actions) {
        if (message instanceof ObserveMessage.AskEntries asked) {
            if (questions.take(nowUs, 1)) {
                answerEntries(nowUs, from, asked, List.of(), send);
            }
        } else if (message instanceof ObserveMessage.AskHeld asked) {
            if (questions.take(nowUs, 1)) {
                held(from, asked, send);
            }
        } else if (message instanceof ObserveMessage.Sum sum) {
            if (voters.contains(from)) {
                sums.take(nowUs, from, sum);
            } else {
                counts.count("dropped.no_voter");
            }
        } else if (voters.contains(from)) {
            // A voter that takes itself for an observer has another file than this one.
            counts.count("dropped.voter_as_observer");
        } else {
            observer(nowUs, from, message, send, actions);
        }
    }

    private void observer(long nowUs, String from, ObserveMessage message, Send send, Consumer<FeedAction> actions) {
        if (message instanceof ObserveMessage.Beat beat) {
            boolean known = attached.beat(nowUs, from, beat.primary(), level && comparing.equal(beat.root()));
            send.to(from, known
                    ? new ObserveMessage.Echo(beat.seq(), level, awayUs(nowUs), comparing.nodes(beat.root()), lives(nowUs))
                    : new ObserveMessage.Later(beat.seq(), ObserveMessage.Reason.UNKNOWN, 0));
        } else if (message instanceof ObserveMessage.Join join) {
            ObserveMessage.Later refusal = attached.join(nowUs, from, join);
            send.to(from, refusal != null ? refusal : new ObserveMessage.Welcome(join.seq(), sums.regions()));
        } else if (message instanceof ObserveMessage.Leave) {
            attached.leave(from);
        } else if (message instanceof ObserveMessage.Taken taken) {
            attached.taken(from, taken.number());
        } else if (message instanceof ObserveMessage.Report report) {
            reports.take(nowUs, from, report.facts());
        } else if (message instanceof ObserveMessage.Leaves leaves) {
            comparing.leaves(from, leaves, send);
        } else if (message instanceof ObserveMessage.Want want) {
            comparing.want(from, want, awayUs(nowUs), send);
        } else if (message instanceof ObserveMessage.Offer offer) {
            List<Slot> more = comparing.offered(nowUs, from, offer, awayUs(nowUs), send);
            if (!more.isEmpty()) {
                counts.count("offers.taken");
                actions.accept(new FeedAction.Offer(more));
            }
        } else if (message instanceof ObserveMessage.Call call) {
            if (proxied.take(nowUs, from, call, send)) {
                actions.accept(new FeedAction.Propose(call.key(), call.id(), call.replaces(), call.payload()));
            }
        } else {
            counts.count("dropped.not_for_voters");
        }
    }

    private void answerEntries(long nowUs, String from, ObserveMessage.AskEntries asked, List<Entry> own, Send send) {
        List<Entry> all = new ArrayList<>(own);
        if (asked.topic() != null) {
            all.addAll(reports.on(asked.topic(), nowUs));
        }
        List<List<Entry>> parts = MessageSizes.split(all, MessageSizes::bytesOf);
        if (parts.isEmpty()) {
            parts.add(List.of());
        }
        for (int part = 0; part < parts.size(); part++) {
            send.to(from, new ObserveMessage.Entries(asked.seq(), part, parts.size(), parts.get(part)));
        }
    }

    private void held(String from, ObserveMessage.AskHeld asked, Send send) {
        Slot slot = table.slot(asked.key());
        boolean here = slot.heads().stream().map(Order::id).anyMatch(asked.id()::equals) || slot.replaced().containsKey(asked.id());
        List<String> lacking = new ArrayList<>();
        if (!here) {
            lacking.add(self);
        }
        attached.counted().stream().filter(name -> !here || !attached.holds(name, asked.key())).forEach(lacking::add);
        int of = attached.counted().size() + 1;
        send.to(from, new ObserveMessage.Held(asked.seq(), of - lacking.size(), of,
                lacking.subList(0, Math.min(MOST_NAMED, lacking.size()))));
    }
}

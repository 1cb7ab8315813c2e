package walkpost.fleet.shell;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import walkpost.fleet.FleetException;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.ShardEvent;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.observe.Feed;
import walkpost.fleet.observe.FeedAction;
import walkpost.fleet.observe.FeedEvent;
import walkpost.fleet.observe.ObserveMessage;
import walkpost.fleet.observe.ObserveSettings;

/** A voter's side of the observers: works its {@link Feed}, and the questions that this voter asks itself. Any thread may call. */
final class FeedLane {
    /** What a feed needs of this voter's shards; called by a thread of the pool, with no lock held. */
    interface Shards {
        /** Gives an order to its shard; what comes of it is told by {@link FeedLane#acknowledged} or {@link FeedLane#refused}. */
        void propose(Order.Key key, String id, String replaces, String payload);

        /** Returns the entries on a topic that this voter has written. */
        List<Entry> own(String topic);

        /** Gives decided orders to the shards that they lie in. */
        void offer(List<Slot> slots);
    }

    private final String self;
    private final List<String> voters;
    private final Counters counters;
    private final Executor pool;
    private final Sender sender;
    private final Shards shards;
    private final Feed feed;
    private final Turns<FeedEvent, FeedAction> turns;
    private final Desk desk;

    FeedLane(FleetFile file, Clock clock, Counters counters, Executor pool, Sender sender, Shards shards) {
        self = file.name();
        voters = file.voters();
        this.counters = counters;
        this.pool = pool;
        this.sender = sender;
        this.shards = shards;
        feed = new Feed(ObserveSettings.defaults(), self, file.region(), Set.copyOf(voters));
        turns = new Turns<>("feed", feed, new FeedEvent.Tick(), clock, counters, pool, new Turns.Carrier<>() {
            @Override
            public void carryOut(FeedAction action, long waitedUs) {
                FeedLane.this.carryOut(action, waitedUs);
            }

            @Override
            public void done() { }
        });
        desk = new Desk(voters, clock, this::ask);
    }

    private void carryOut(FeedAction action, long waitedUs) {
        if (action instanceof FeedAction.Send send) {
            if (waitedUs > Ages.LATE_US) {
                counters.dropped("late");
            } else if (send.to().equals(self)) {
                desk.received(self, Ages.aged(send.message(), waitedUs));
            } else {
                sender.send(send.to(), Ages.aged(send.message(), waitedUs));
            }
        } else if (action instanceof FeedAction.Propose propose) {
            shards.propose(propose.key(), propose.id(), propose.replaces(), propose.payload());
        } else if (action instanceof FeedAction.OfferSlots offer) {
            shards.offer(offer.slots());
        }
    }

    private void ask(String voter, ObserveMessage question) {
        if (voter.equals(self)) {
            received(self, question, 1);
        } else {
            sender.send(voter, question);
        }
    }

    void received(String from, ObserveMessage message, int length) {
        if (Desk.takes(message)) {
            desk.received(from, message);
        } else if (message instanceof ObserveMessage.EntriesQuery question && question.topic() != null) {
            asked(from, question, length);
        } else {
            turns.put(waitedUs -> new FeedEvent.Received(from, Ages.aged(message, waitedUs)), length);
        }
    }

    /** Not on the loop: shards may be busy. */
    private void asked(String from, ObserveMessage.EntriesQuery question, int length) {
        try {
            pool.execute(() -> {
                List<Entry> own = shards.own(question.topic());
                turns.put(waitedUs -> new FeedEvent.EntriesQueried(from, question, own), length);
            });
        } catch (RejectedExecutionException e) {
            counters.add("after_the_end", 1);
        }
    }

    void tick() {
        turns.tick();
        desk.tick();
    }

    void peers(ShardEvent.LivePeers now) {
        var others = new HashSet<>(now.roundTripUs().keySet());
        others.retainAll(voters);
        turns.put(new FeedEvent.LiveVoters(others));
    }

    /** Slots of this voter's shards have changed, and are on disk where there is one. */
    void changed(List<Slot> slots) {
        turns.put(new FeedEvent.SlotsChanged(slots));
    }

    void level(boolean level) {
        turns.put(new FeedEvent.CaughtUpChanged(level));
    }

    void acknowledged(String id, Order order) {
        turns.put(new FeedEvent.Acknowledged(id, order));
    }

    void refused(String id, FleetException why) {
        turns.put(new FeedEvent.Refused(id, why));
    }

    CompletionStage<TopicEntries> entries(String topic) {
        return desk.entries(topic);
    }

    CompletionStage<Coverage> held(Order.Key key, String id) {
        return desk.held(key, id);
    }

    Map<String, Integer> lives() {
        return turns.read(feed::observersByRegion);
    }

    /** Returns counts by name; what shards have as well, under a name of its own. */
    Map<String, Long> figures() {
        var all = new HashMap<String, Long>();
        turns.read(nowUs -> feed.counters()).forEach((name, count) -> all.put(
                name.equals("observers") || name.startsWith("dropped.") ? name : "feed." + name, count));
        return all;
    }

    void end() {
        desk.end();
    }
}

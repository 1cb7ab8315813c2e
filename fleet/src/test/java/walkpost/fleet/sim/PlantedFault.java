package walkpost.fleet.sim;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Stream;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.ShardAction;
import walkpost.fleet.copy.ShardEvent;
import walkpost.fleet.copy.ShardMessage;
import walkpost.fleet.copy.ShardMessage.DeclineReason;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.copy.SlotMerge;
import walkpost.fleet.member.MemberEvent;
import walkpost.fleet.member.News;
import walkpost.fleet.member.Standing;
import walkpost.fleet.observe.FeedAction;
import walkpost.fleet.observe.ObserveMessage;
import walkpost.fleet.observe.ObserverAction;
import walkpost.fleet.observe.ObserverEvent;
import walkpost.fleet.sim.Violation.Rule;

/** Faults that an implementation might have, with the rules that the oracle has to find broken. */
enum PlantedFault {
    PERSIST_DROPPED(() -> new FaultInjection() {
        @Override
        List<ShardAction> replaceAction(Node node, int shard, ShardAction action) {
            return action instanceof ShardAction.Persist ? List.of() : List.of(action);
        }
    }, Rule.KEPT),

    DECIDES_WITHOUT_MAJORITY(() -> new FaultInjection() {
        @Override
        List<ShardAction> replaceAction(Node node, int shard, ShardAction action) {
            if (action instanceof ShardAction.Send send && send.message() instanceof ShardMessage.Propose proposal) {
                node.deliverForged(shard, send.to(), new ShardMessage.Promised(proposal.round(), proposal.order().id()));
            }
            return List.of(action);
        }
    }, Rule.DECIDED),

    PROMISES_TWICE(() -> new FaultInjection() {
        @Override
        List<ShardAction> replaceAction(Node node, int shard, ShardAction action) {
            return List.of(action instanceof ShardAction.Send send && send.message() instanceof ShardMessage.Declined declined
                    && declined.why() == DeclineReason.BUSY
                    ? new ShardAction.Send(send.to(), new ShardMessage.Promised(declined.round(), declined.id())) : action);
        }
    }, Rule.PROMISE),

    JOIN_DROPS_RIVALS(() -> new FaultInjection() {
        @Override
        List<ShardEvent> replaceEvent(Node node, int shard, ShardEvent event) {
            return List.of(event instanceof ShardEvent.Received received
                    ? new ShardEvent.Received(received.from(), RecordRewriter.each(received.message(), Slot.class,
                            slot -> new Slot(slot.key(), slot.heads().stream().limit(1).toList(), slot.replaced(), slot.floor()))) : event);
        }
    }, Rule.MEET, Rule.SERVES, Rule.KEPT),

    AGES_RESET_WHEN_SENT(() -> new FaultInjection() {
        @Override
        List<ShardAction> replaceAction(Node node, int shard, ShardAction action) {
            return List.of(action instanceof ShardAction.Send send
                    ? new ShardAction.Send(send.to(), RecordRewriter.each(send.message(), Entry.class,
                            entry -> new Entry(entry.key(), entry.incarnation(), entry.version(), entry.payload(), 0))) : action);
        }
    }, Rule.AGE),

    CAUGHT_UP_WITHOUT_COMPARISON(() -> new FaultInjection() {
        @Override
        List<ShardAction> replaceAction(Node node, int shard, ShardAction action) {
            if (action instanceof ShardAction.Send send && send.message() instanceof ShardMessage.CompareRoots request) {
                node.deliverForged(shard, send.to(),
                        new ShardMessage.NodeHashes(request.round(), request.awayUs(), new long[0], new long[0]));
            }
            return List.of(action);
        }
    }, Rule.LEVEL),

    REMOVAL_FORGOTTEN(() -> new FaultInjection() {
        @Override
        List<Slot> restored(List<Slot> slots) {
            return slots.stream().filter(slot -> slot.heads().stream().map(Order::payload).anyMatch(payload -> payload != null)).toList();
        }
    }, Rule.KEPT, Rule.OVER),

    CLOCK_STOPS_DURING_SUSPENSION(() -> new FaultInjection() {
        @Override
        long clockUs(Node node, long clockUs) {
            return clockUs - node.suspendedUs();
        }
    }, Rule.LEVEL, Rule.AGE),

    TRUSTS_LOWER_INCARNATION(() -> new FaultInjection() {
        @Override
        MemberEvent replaceEvent(Node node, MemberEvent event) {
            return event instanceof MemberEvent.Received received
                    ? new MemberEvent.Received(received.from(),
                            RecordRewriter.each(received.message(), News.class, PlantedFault::raiseIncarnation)) : event;
        }
    }, Rule.MEMBERS),

    OBSERVER_COUNTED_IN_A_MAJORITY(Layout.FEW_VOTE, () -> new FaultInjection() {
        @Override
        List<ShardEvent> replaceEvent(Node node, int shard, ShardEvent event) {
            return List.of(event instanceof ShardEvent.Received received && isObserver(received.from())
                    ? new ShardEvent.Received(node.index == 0 ? "n1" : "n0", received.message()) : event);
        }

        private boolean isObserver(String name) {
            return !List.of("n0", "n1", "n2").contains(name);
        }
    }, Rule.DECIDED, Rule.KEPT),

    OUTDATED_VOTER_TAKEN_FOR_CAUGHT_UP(Layout.FEW_VOTE, () -> new FaultInjection() {
        @Override
        List<ObserverEvent> replaceEvent(Node node, ObserverEvent event) {
            return List.of(event instanceof ObserverEvent.Received received && received.message() instanceof ObserveMessage.HeartbeatReply echo
                    ? new ObserverEvent.Received(received.from(),
                            new ObserveMessage.HeartbeatReply(echo.seq(), true, 0, echo.nodes(), echo.lives())) : event);
        }
    }, Rule.LEVEL, Rule.KEPT),

    OLDER_SLOT_ADOPTED(Layout.FEW_VOTE, () -> new FaultInjection() {
        private final Map<Node, List<Slot>> lastPushed = new HashMap<>();

        @Override
        List<ObserverEvent> replaceEvent(Node node, ObserverEvent event) {
            if (event instanceof ObserverEvent.Received received && received.message() instanceof ObserveMessage.Push push) {
                lastPushed.put(node, push.slots());
            }
            return List.of(event);
        }

        @Override
        List<ObserverAction> replaceAction(Node node, ObserverAction action) {
            List<ObserverAction> all = new ArrayList<>(List.of(action));
            if (action instanceof ObserverAction.Send send && send.message() instanceof ObserveMessage.PushAck) {
                lastPushed.get(node).forEach(slot -> all.add(
                        new ObserverAction.EffectiveOrderChanged(slot.key(), SlotMerge.effectiveOrder(slot))));
            }
            return all;
        }
    }, Rule.OVER, Rule.KEPT),

    PUSH_LOST_AND_NEVER_COMPARED(Layout.FEW_VOTE, () -> new FaultInjection() {
        private final Set<String> equalObservers = new HashSet<>();
        private int pushCount;

        @Override
        List<FeedAction> replaceAction(Node node, FeedAction action) {
            if (action instanceof FeedAction.Send send && send.message() instanceof ObserveMessage.HeartbeatReply echo) {
                if (echo.nodes().length == 0) {
                    equalObservers.add(send.to());
                }
                return List.of(equalObservers.contains(send.to()) ? new FeedAction.Send(send.to(),
                        new ObserveMessage.HeartbeatReply(echo.seq(), echo.level(), echo.awayUs(), new long[0], echo.lives())) : action);
            }
            boolean lost = action instanceof FeedAction.Send send && send.message() instanceof ObserveMessage.Push && pushCount++ % 3 > 0;
            return lost ? List.of() : List.of(action);
        }
    }, Rule.MEET, Rule.KEPT),

    CUT_OFF_OBSERVER_FORGETS(Layout.FEW_VOTE, () -> new FaultInjection() {
        private final Map<Node, Set<Order.Key>> reportedKeys = new HashMap<>();

        @Override
        List<ObserverAction> replaceAction(Node node, ObserverAction action) {
            List<ObserverAction> all = new ArrayList<>(List.of(action));
            if (action instanceof ObserverAction.EffectiveOrderChanged changed) {
                reportedKeys.computeIfAbsent(node, key -> new LinkedHashSet<>()).add(changed.key());
            } else if (action instanceof ObserverAction.CaughtUpChanged reported && !reported.caughtUp()) {
                reportedKeys.getOrDefault(node, Set.of()).forEach(
                        key -> all.add(new ObserverAction.EffectiveOrderChanged(key, new EffectiveOrder(null, null, List.of()))));
            }
            return all;
        }
    }, Rule.KEPT);

    final Set<Rule> rules;
    private final Layout layout;
    private final Supplier<FaultInjection> faultInjection;

    PlantedFault(Supplier<FaultInjection> faultInjection, Rule... rules) {
        this(Layout.ALL_COPY, faultInjection, rules);
    }

    PlantedFault(Layout layout, Supplier<FaultInjection> faultInjection, Rule... rules) {
        this.layout = layout;
        this.faultInjection = faultInjection;
        this.rules = Set.of(rules);
    }

    /** Returns the faults that are planted into a layout. */
    static Stream<PlantedFault> in(Layout layout) {
        return Arrays.stream(values()).filter(planted -> planted.layout == layout);
    }

    FaultInjection create() {
        return faultInjection.get();
    }

    /** Raises the incarnation in news of a suspicion or death, so that news of a former life counts for the present one. */
    private static News raiseIncarnation(News news) {
        return news.standing() == Standing.ALIVE ? news
                : new News(news.name(), news.incarnation() + 1, news.host(), news.port(), news.standing(), news.by());
    }
}

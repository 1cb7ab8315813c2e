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
import walkpost.fleet.copy.Acting;
import walkpost.fleet.copy.CopyAction;
import walkpost.fleet.copy.CopyEvent;
import walkpost.fleet.copy.CopyMessage;
import walkpost.fleet.copy.Fact;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.copy.SlotRule;
import walkpost.fleet.member.MemberEvent;
import walkpost.fleet.member.News;
import walkpost.fleet.member.Standing;
import walkpost.fleet.observe.FeedAction;
import walkpost.fleet.observe.ObserveMessage;
import walkpost.fleet.observe.ObserverAction;
import walkpost.fleet.observe.ObserverEvent;
import walkpost.fleet.sim.Violation.Rule;

/** Faults as a program might have them, and which rules they break. */
enum Planted {
    PERSIST_DROPPED(() -> new Plant() {
        @Override
        List<CopyAction> leaving(Node node, int shard, CopyAction action) {
            return action instanceof CopyAction.Persist ? List.of() : List.of(action);
        }
    }, Rule.KEPT),

    DECIDES_WITHOUT_MAJORITY(() -> new Plant() {
        @Override
        List<CopyAction> leaving(Node node, int shard, CopyAction action) {
            if (action instanceof CopyAction.Send send && send.message() instanceof CopyMessage.Propose asked) {
                node.forge(shard, send.to(), new CopyMessage.Promised(asked.round(), asked.order().id()));
            }
            return List.of(action);
        }
    }, Rule.DECIDED),

    PROMISES_TWICE(() -> new Plant() {
        @Override
        List<CopyAction> leaving(Node node, int shard, CopyAction action) {
            return List.of(action instanceof CopyAction.Send send && send.message() instanceof CopyMessage.Declined no
                    && no.why() == CopyMessage.Reason.BUSY
                    ? new CopyAction.Send(send.to(), new CopyMessage.Promised(no.round(), no.id())) : action);
        }
    }, Rule.PROMISE),

    JOIN_DROPS_RIVALS(() -> new Plant() {
        @Override
        List<CopyEvent> reaching(Node node, int shard, CopyEvent event) {
            return List.of(event instanceof CopyEvent.Received received
                    ? new CopyEvent.Received(received.from(), Rewrite.each(received.message(), Slot.class,
                            slot -> new Slot(slot.key(), slot.heads().stream().limit(1).toList(), slot.replaced(), slot.floor()))) : event);
        }
    }, Rule.MEET, Rule.SERVES, Rule.KEPT),

    AGES_NOT_COUNTED_WHILE_HELD(() -> new Plant() {
        @Override
        List<CopyAction> leaving(Node node, int shard, CopyAction action) {
            return List.of(action instanceof CopyAction.Send send
                    ? new CopyAction.Send(send.to(), Rewrite.each(send.message(), Fact.class,
                            fact -> new Fact(fact.key(), fact.incarnation(), fact.version(), fact.payload(), 0))) : action);
        }
    }, Rule.AGE),

    LEVEL_WITHOUT_COMPARING(() -> new Plant() {
        @Override
        List<CopyAction> leaving(Node node, int shard, CopyAction action) {
            if (action instanceof CopyAction.Send send && send.message() instanceof CopyMessage.Compare asked) {
                node.forge(shard, send.to(), new CopyMessage.Nodes(asked.round(), asked.awayUs(), new long[0], new long[0]));
            }
            return List.of(action);
        }
    }, Rule.LEVEL),

    REMOVAL_FORGOTTEN(() -> new Plant() {
        @Override
        List<Slot> restored(List<Slot> slots) {
            return slots.stream().filter(slot -> slot.heads().stream().map(Order::payload).anyMatch(payload -> payload != null)).toList();
        }
    }, Rule.KEPT, Rule.OVER),

    ACTS_AFTER_A_STOP(() -> new Plant() {
        @Override
        long clockUs(Node node, long clockUs) {
            return clockUs - node.stoodStillUs();
        }
    }, Rule.LEVEL, Rule.AGE),

    TRUSTS_LOWER_INCARNATION(() -> new Plant() {
        @Override
        MemberEvent reaching(Node node, MemberEvent event) {
            return event instanceof MemberEvent.Received received
                    ? new MemberEvent.Received(received.from(), Rewrite.each(received.message(), News.class, Planted::newer)) : event;
        }
    }, Rule.MEMBERS),

    OBSERVER_COUNTED_IN_A_MAJORITY(Layout.FEW_VOTE, () -> new Plant() {
        @Override
        List<CopyEvent> reaching(Node node, int shard, CopyEvent event) {
            return List.of(event instanceof CopyEvent.Received received && observer(received.from())
                    ? new CopyEvent.Received(node.index == 0 ? "n1" : "n0", received.message()) : event);
        }

        private boolean observer(String name) {
            return !List.of("n0", "n1", "n2").contains(name);
        }
    }, Rule.DECIDED, Rule.KEPT),

    VOTER_THAT_IS_BEHIND_TAKEN_FOR_LEVEL(Layout.FEW_VOTE, () -> new Plant() {
        @Override
        List<ObserverEvent> reaching(Node node, ObserverEvent event) {
            return List.of(event instanceof ObserverEvent.Received received && received.message() instanceof ObserveMessage.Echo echo
                    ? new ObserverEvent.Received(received.from(),
                            new ObserveMessage.Echo(echo.seq(), true, 0, echo.nodes(), echo.lives())) : event);
        }
    }, Rule.LEVEL, Rule.KEPT),

    OLDER_SLOT_ADOPTED(Layout.FEW_VOTE, () -> new Plant() {
        private final Map<Node, List<Slot>> pushed = new HashMap<>();

        @Override
        List<ObserverEvent> reaching(Node node, ObserverEvent event) {
            if (event instanceof ObserverEvent.Received received && received.message() instanceof ObserveMessage.Push push) {
                pushed.put(node, push.slots());
            }
            return List.of(event);
        }

        @Override
        List<ObserverAction> leaving(Node node, ObserverAction action) {
            List<ObserverAction> all = new ArrayList<>(List.of(action));
            if (action instanceof ObserverAction.Send send && send.message() instanceof ObserveMessage.Taken) {
                pushed.get(node).forEach(slot -> all.add(new ObserverAction.Stands(slot.key(), SlotRule.acting(slot))));
            }
            return all;
        }
    }, Rule.OVER, Rule.KEPT),

    PUSH_LOST_AND_NEVER_COMPARED(Layout.FEW_VOTE, () -> new Plant() {
        private final Set<String> equal = new HashSet<>();
        private int pushes;

        @Override
        List<FeedAction> leaving(Node node, FeedAction action) {
            if (action instanceof FeedAction.Send send && send.message() instanceof ObserveMessage.Echo echo) {
                if (echo.nodes().length == 0) {
                    equal.add(send.to());
                }
                return List.of(equal.contains(send.to()) ? new FeedAction.Send(send.to(),
                        new ObserveMessage.Echo(echo.seq(), echo.level(), echo.awayUs(), new long[0], echo.lives())) : action);
            }
            boolean lost = action instanceof FeedAction.Send send && send.message() instanceof ObserveMessage.Push && pushes++ % 3 > 0;
            return lost ? List.of() : List.of(action);
        }
    }, Rule.MEET, Rule.KEPT),

    CUT_OFF_OBSERVER_FORGETS(Layout.FEW_VOTE, () -> new Plant() {
        private final Map<Node, Set<Order.Key>> told = new HashMap<>();

        @Override
        List<ObserverAction> leaving(Node node, ObserverAction action) {
            List<ObserverAction> all = new ArrayList<>(List.of(action));
            if (action instanceof ObserverAction.Stands stands) {
                told.computeIfAbsent(node, key -> new LinkedHashSet<>()).add(stands.key());
            } else if (action instanceof ObserverAction.Level news && !news.level()) {
                told.getOrDefault(node, Set.of()).forEach(
                        key -> all.add(new ObserverAction.Stands(key, new Acting(null, null, List.of()))));
            }
            return all;
        }
    }, Rule.KEPT);

    final Set<Rule> rules;
    private final Layout layout;
    private final Supplier<Plant> plant;

    Planted(Supplier<Plant> plant, Rule... rules) {
        this(Layout.ALL_COPY, plant, rules);
    }

    Planted(Layout layout, Supplier<Plant> plant, Rule... rules) {
        this.layout = layout;
        this.plant = plant;
        this.rules = Set.of(rules);
    }

    /** Returns those that are planted into this layout. */
    static Stream<Planted> in(Layout layout) {
        return Arrays.stream(values()).filter(planted -> planted.layout == layout);
    }

    Plant make() {
        return plant.get();
    }

    /** What was said of a former life counts for this one too. */
    private static News newer(News said) {
        return said.standing() == Standing.ALIVE ? said
                : new News(said.name(), said.incarnation() + 1, said.host(), said.port(), said.standing(), said.by());
    }
}

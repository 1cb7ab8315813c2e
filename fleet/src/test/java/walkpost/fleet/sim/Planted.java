package walkpost.fleet.sim;

import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import walkpost.fleet.copy.CopyAction;
import walkpost.fleet.copy.CopyEvent;
import walkpost.fleet.copy.CopyMessage;
import walkpost.fleet.copy.Fact;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.member.MemberEvent;
import walkpost.fleet.member.News;
import walkpost.fleet.member.Standing;
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
    }, Rule.MEMBERS);

    final Set<Rule> rules;
    private final Supplier<Plant> plant;

    Planted(Supplier<Plant> plant, Rule... rules) {
        this.plant = plant;
        this.rules = Set.of(rules);
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

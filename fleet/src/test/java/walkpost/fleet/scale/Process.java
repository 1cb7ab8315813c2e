package walkpost.fleet.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.ShardMessage;
import walkpost.fleet.member.Life;
import walkpost.fleet.member.Member;
import walkpost.fleet.member.MemberAction;
import walkpost.fleet.member.MemberEvent;
import walkpost.fleet.member.MemberMessage;
import walkpost.fleet.member.MemberSettings;
import walkpost.fleet.member.Membership;
import walkpost.fleet.member.Standing;
import walkpost.fleet.observe.ObserveMessage;

/**
 * One life of a host's process. It does what the fleet's shell does: ticks its machines, gives them messages, carries out what they
 * want in order, and drops what comes from a former life.
 */
abstract class Process {
    private static final long TICK_US = 50 * Agenda.MS;
    private static final int TICKS_A_SECOND = 20;
    /** An observer's owner tells it each second who lives; here only what has changed is told at once, as the rest takes long to play. */
    private static final int WATCHERS_TICKS = 5 * TICKS_A_SECOND;

    private final World world;
    private final Host host;
    private final Membership membership;
    private final Map<String, Member> told = new HashMap<>();
    private final List<MemberAction> actions = new ArrayList<>();
    private final Runnable ticking = this::tick;
    private Life life;
    private int ticks;
    private int living;
    private boolean changed;

    Process(World world, Host host, Life life) {
        this.world = world;
        this.host = host;
        this.life = life;
        membership = new Membership(MemberSettings.defaults(), life, host.address(), world.seeds(), world.agenda().nextSeed());
    }

    /** Who lives, with the round trip to each, this one apart. */
    abstract void peers(Map<String, Long> roundTripUs);

    /** Whether a change of that member has to be told at once, rather than within a second. */
    abstract boolean concerns(String name);

    abstract void ticked(long nowUs);

    abstract void received(String from, int shard, ShardMessage message);

    abstract void received(String from, ObserveMessage message);

    abstract void tell(String topic, String subject, String payload);

    abstract void order(Order.Key key, String id, String replaces, String payload);

    abstract boolean level();

    /** Returns what stands, by key. */
    abstract Map<Order.Key, EffectiveOrder> acting();

    final World world() {
        return world;
    }

    final Host host() {
        return host;
    }

    final Cost cost() {
        return world.cost(host);
    }

    /** Returns how many members it holds to live, itself among them. */
    final int living() {
        return living;
    }

    final boolean runs() {
        return host.process() == this;
    }

    void begin() {
        handle(new MemberEvent.Tick());
        world.agenda().after(world.agenda().draw(TICK_US), ticking);
    }

    final void leave() {
        handle(new MemberEvent.Leave());
    }

    private void tick() {
        if (!runs()) {
            return;
        }
        world.agenda().after(TICK_US, ticking);
        handle(new MemberEvent.Tick());
        if (ticks++ % (host.voter() ? TICKS_A_SECOND : WATCHERS_TICKS) == 0 || changed) {
            changed = false;
            peers(membership.roundTripBoundsUs(world.hasObservers() ? world.voters() : Set.of()));
        }
        ticked(world.nowUs());
        if (level()) {
            host.level(world.nowUs());
        }
    }

    private void handle(MemberEvent event) {
        long fromNs = System.nanoTime();
        membership.handle(world.nowUs(), event, actions::add);
        cost().membership(fromNs);
        if (actions.isEmpty()) {
            return;
        }
        for (MemberAction action : actions) {
            if (action instanceof MemberAction.SendTo send) {
                send(send);
            } else if (action instanceof MemberAction.Changed change) {
                Member member = change.member();
                Member before = told.put(member.life().name(), member);
                living += (lives(member) ? 1 : 0) - (before != null && lives(before) ? 1 : 0);
                if (member.life().name().equals(host.name())) {
                    life = member.life();
                }
                changed |= concerns(member.life().name());
            }
        }
        actions.clear();
    }

    private static boolean lives(Member member) {
        return member.standing() == Standing.ALIVE || member.standing() == Standing.SUSPECT;
    }

    private void send(MemberAction.SendTo send) {
        Host to = world.at(send.to());
        if (to == null) {
            return;
        }
        MemberMessage message = send.message();
        long fromNs = System.nanoTime();
        byte[] bytes = world.wire().encode(life, host.address(), message);
        cost().wrote(fromNs);
        boolean sync = message instanceof MemberMessage.Sync;
        world.wan().send(this, to, bytes.length, send.large(), sync ? Traffic.Kind.SYNC : Traffic.Kind.MEMBER,
                message.getClass().getSimpleName(), () -> {
                    to.process().read(bytes);
                    to.process().handle(new MemberEvent.Received(host.address(), message));
                });
    }

    /** Sends to the same shard of a member. */
    final void send(String name, int shard, ShardMessage message) {
        Host to = known(name);
        if (to == null) {
            return;
        }
        long fromNs = System.nanoTime();
        byte[] bytes = world.wire().encode(life, host.address(), shard, message);
        cost().wrote(fromNs);
        Life from = life;
        world.wan().send(this, to, bytes.length, false, Traffic.Kind.COPY, "Copy" + message.getClass().getSimpleName(), () -> {
            to.process().read(bytes);
            if (!to.process().outdated(from)) {
                to.process().received(from.name(), shard, message);
            }
        });
    }

    /** Sends what observers and voters say. */
    final void send(String name, ObserveMessage message) {
        Host to = known(name);
        if (to == null) {
            return;
        }
        long fromNs = System.nanoTime();
        byte[] bytes = world.wire().encode(life, host.address(), message);
        cost().wrote(fromNs);
        Life from = life;
        world.wan().send(this, to, bytes.length, false, Traffic.Kind.OBSERVE, "Observe" + message.getClass().getSimpleName(), () -> {
            to.process().read(bytes);
            if (!to.process().outdated(from)) {
                to.process().received(from.name(), message);
            }
        });
    }

    private Host known(String name) {
        Member member = told.get(name);
        return member == null ? null : world.at(member.address());
    }

    private boolean outdated(Life from) {
        Member member = told.get(from.name());
        return member != null && member.life().incarnation() > from.incarnation();
    }

    private void read(byte[] bytes) {
        if (world.readsNow()) {
            long fromNs = System.nanoTime();
            boolean understood = world.wire().decodes(bytes);
            cost().read(fromNs);
            if (!understood) {
                throw new IllegalStateException("a message of " + bytes.length + " bytes that is not understood");
            }
        }
    }
}

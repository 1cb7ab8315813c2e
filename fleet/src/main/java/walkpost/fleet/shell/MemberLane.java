package walkpost.fleet.shell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Function;
import walkpost.fleet.copy.ShardEvent;
import walkpost.fleet.member.Life;
import walkpost.fleet.member.Member;
import walkpost.fleet.member.MemberAction;
import walkpost.fleet.member.MemberEvent;
import walkpost.fleet.member.MemberMessage;
import walkpost.fleet.member.Membership;
import walkpost.fleet.member.MembershipCounters;
import walkpost.fleet.member.Standing;

/**
 * Works the membership: gives it its events and carries out what it wants, on the fleet's event loop alone. Its lock is for those who
 * read from other threads; it is given back before anything is carried out.
 */
final class MemberLane {
    private final Membership membership;
    private final Clock clock;
    private final Counters counters;
    private final Transport transport;
    private final Function<MemberMessage, byte[]> encoder;
    private final Lock lock = new ReentrantLock();
    /** What was last told of each; read by any thread, for the addresses and lives of those who speak. */
    private final Map<String, Member> told = new ConcurrentHashMap<>();
    private final List<Outlet> outlets = new ArrayList<>();
    private final Consumer<Member> changed;
    private final Set<String> always;
    private volatile Life self;

    /**
     * @param always names that are told as peers whatever is held of them: after a cut nobody waits until membership has found them again
     * @param changed told of each member of which something else is held now
     */
    MemberLane(Membership membership, Life self, Clock clock, Counters counters, Transport transport,
            Function<MemberMessage, byte[]> encoder, Set<String> always, Consumer<Member> changed) {
        this.membership = membership;
        this.self = self;
        this.clock = clock;
        this.counters = counters;
        this.transport = transport;
        this.encoder = encoder;
        this.changed = changed;
        this.always = Set.copyOf(always);
    }

    /** Takes an event; on the loop. */
    void handle(MemberEvent event) {
        var actions = new ArrayList<MemberAction>();
        lock.lock();
        try {
            membership.handle(clock.nowUs(), event, actions::add);
        } catch (RuntimeException e) {
            counters.add("failures", 1);
            Log.failure("machine_failed", e, "machine", "membership", "event", event.getClass().getSimpleName());
        } finally {
            lock.unlock();
        }
        actions.forEach(this::carryOut);
    }

    private void carryOut(MemberAction action) {
        if (action instanceof MemberAction.SendTo send) {
            byte[] message = encoder.apply(send.message());
            if (message != null) {
                transport.send(send.to(), message, send.large());
            }
        } else if (action instanceof MemberAction.Changed change) {
            changed(change.member());
        }
    }

    private void changed(Member member) {
        told.put(member.life().name(), member);
        if (member.life().name().equals(self.name())) {
            self = member.life();
        }
        if (member.standing() == Standing.DEAD || member.standing() == Standing.SUSPECT) {
            Log.warn("member_changed", fields(member));
        } else {
            Log.info("member_changed", fields(member));
        }
        outlets.forEach(outlet -> outlet.put(listener -> listener.member(member)));
        changed.accept(member);
    }

    private static Object[] fields(Member member) {
        return new Object[] {"member", member.life().name(), "standing", member.standing(), "incarnation", member.life().incarnation(),
            "address", member.address()};
    }

    /** Tells a listener of all members, and of changes from now on; on the loop. */
    void listen(Outlet outlet) {
        members().forEach(member -> outlet.put(listener -> listener.member(member)));
        outlets.add(outlet);
    }

    /** Returns this member, in the life that it is in. */
    Life self() {
        return self;
    }

    /** Returns what is known of a member that was told of, or null. */
    Member known(String name) {
        return told.get(name);
    }

    List<Member> members() {
        lock.lock();
        try {
            return List.copyOf(membership.members());
        } finally {
            lock.unlock();
        }
    }

    /** Returns counts by name. */
    Map<String, Long> figures() {
        MembershipCounters figures;
        lock.lock();
        try {
            figures = membership.counters();
        } finally {
            lock.unlock();
        }
        var all = new HashMap<String, Long>();
        all.put("pings", figures.pings());
        all.put("acks", figures.acks());
        all.put("nacks", figures.nacks());
        all.put("suspicions", figures.suspicions());
        all.put("false_suspicions", figures.falseSuspicions());
        all.put("refutations", figures.refutations());
        all.put("deaths", figures.deaths());
        all.put("leaves", figures.leaves());
        all.put("joins", figures.joins());
        all.put("name_conflicts", figures.conflicts());
        all.put("standstills", figures.standstills());
        all.put("health", (long) figures.health());
        figures.dropped().forEach((cause, count) -> all.put("member_" + Counters.DROPPED + cause.name().toLowerCase(Locale.ROOT), count));
        return all;
    }

    /** Returns who lives, those suspected among them, this member apart, with the round trips to them; on the loop. */
    ShardEvent.LivePeers peers() {
        lock.lock();
        try {
            // Who has been forgotten is no more to be known here either.
            if (told.size() > membership.members().size()) {
                told.keySet().retainAll(membership.members().stream().map(member -> member.life().name()).toList());
            }
            return new ShardEvent.LivePeers(membership.roundTripBoundsUs(always));
        } finally {
            lock.unlock();
        }
    }
}

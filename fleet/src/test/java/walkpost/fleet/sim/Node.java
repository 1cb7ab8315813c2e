package walkpost.fleet.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Shard;
import walkpost.fleet.copy.ShardAction;
import walkpost.fleet.copy.ShardEvent;
import walkpost.fleet.copy.ShardMessage;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.member.Address;
import walkpost.fleet.member.Life;
import walkpost.fleet.member.MemberAction;
import walkpost.fleet.member.MemberEvent;
import walkpost.fleet.member.Membership;
import walkpost.fleet.observe.FeedEvent;
import walkpost.fleet.observe.ObserverEvent;

/**
 * A simulated machine: its clocks and its disk, which outlive its process, and the process, if one is running. The process does what the
 * {@code walkpost.fleet.shell} package does: it ticks the state machines, passes messages to them, and carries out their actions in order;
 * a write to disk is complete before the next action.
 */
final class Node {
    private static final long TICK_US = 50 * SimClock.MILLI_US;
    private static final int SOCKET_BUFFER_MESSAGES = 256;
    /** Messages that waited longer for the disk or a suspended process are dropped, as in the shell: their ages do not include the wait. */
    static final long MAX_SEND_DELAY_US = SimClock.SECOND_US;
    private static final long MAX_ENTRY_SEND_DELAY_US = SimClock.SECOND_US / 10;

    final int index;
    final String name;
    final Address address;
    final boolean directory;
    /** Whether the node holds replicas of the shards; else it is an observer. */
    final boolean holdsReplicas;
    /** The region of the node, in a layout with observers; else empty. */
    final String region;
    private final SimulatedFleet fleet;
    private final SimClock time;
    private final double clockRate;
    private final long epochUs;
    private final long maxWriteUs;
    private final List<Map<Order.Key, Slot>> disk = new ArrayList<>();
    private long wallStepMs;
    private long lastIncarnation;
    private long endedMs;
    private long suspendedUs;
    private Process process;

    Node(SimulatedFleet fleet, int index, boolean directory) {
        this.fleet = fleet;
        this.index = index;
        this.directory = directory;
        time = fleet.time;
        name = "n" + index;
        address = new Address("127.0.0." + (index + 1), 7401);
        clockRate = 1 + time.between(-20, 20) / 1000.0;
        epochUs = time.between(0, 1_000_000 * SimClock.SECOND_US);
        holdsReplicas = fleet.layout == Layout.ALL_COPY || index < SimulatedFleet.VOTERS;
        region = fleet.layout == Layout.ALL_COPY ? "" : SimulatedFleet.REGIONS.get(time.below(SimulatedFleet.REGIONS.size()));
        maxWriteUs = time.chance(0.2) ? 300 * SimClock.MILLI_US : 5 * SimClock.MILLI_US;
        for (int shard = 0; shard < fleet.shards; shard++) {
            disk.add(new LinkedHashMap<>());
        }
    }

    Process process() {
        return process;
    }

    boolean alive() {
        return process != null;
    }

    /** Returns the monotonic clock, which deviates by up to 2%, has an arbitrary origin, and is never stepped. */
    long clockUs() {
        return fleet.faultInjection.clockUs(this, epochUs + (long) (time.nowUs() * clockRate));
    }

    /** Steps the wall clock, which only a start reads. */
    void stepWallClock(long ms) {
        wallStepMs += ms;
    }

    private long wallMs() {
        return 1_764_000_000_000L + time.nowUs() / 1000 + wallStepMs;
    }

    Collection<Slot> disk(int shard) {
        return disk.get(shard).values();
    }

    void start() {
        long incarnation = wallMs();
        if (directory) {
            incarnation = Math.max(incarnation, lastIncarnation + 1);
        }
        lastIncarnation = incarnation;
        process = new Process(new Life(name, incarnation));
        time.log("%s starts as %d", name, incarnation);
        process.begin();
    }

    /** Kills the process. A write under way is complete on disk, or missing, or partial. */
    void kill() {
        if (process != null) {
            time.log("%s is killed", name);
            Process dead = process;
            process = null;
            endedMs = wallMs();
            for (ShardReplica replica : dead.replicas) {
                List<Slot> writing = replica.slotsBeingWritten;
                if (writing != null && time.chance(0.5)) {
                    replica.write(time.chance(0.5) ? writing : writing.subList(0, time.below(writing.size() + 1)));
                }
            }
            fleet.oracle.killed(this, dead);
        }
    }

    /** Delivers a message to a shard of this node that no member has sent. */
    void deliverForged(int shard, String from, ShardMessage message) {
        Process reader = process;
        time.after(SimClock.MILLI_US, () -> reader.receive(
                () -> reader.replicas.get(shard).handle(new ShardEvent.Received(from, message))));
    }

    /** Returns the total time for which processes of this node were suspended, by its clock. */
    long suspendedUs() {
        return suspendedUs;
    }

    /** Suspends the process for a time, as SIGSTOP and SIGCONT do. Arriving messages wait, up to a bound. */
    void suspend(long durationUs) {
        Process current = process;
        if (current != null && !current.suspended) {
            time.log("%s is suspended for %d ms", name, durationUs / 1000);
            current.suspended = true;
            fleet.oracle.suspended(current, durationUs);
            time.after(durationUs, () -> {
                suspendedUs += (long) (durationUs * clockRate);
                current.resume();
            });
        }
    }

    /** Runs a fault in the middle of a batch of actions, before the action with number {@code actions} from now. */
    void setTrap(int actions, Runnable fault) {
        if (process != null) {
            process.actionsUntilTrap = actions;
            process.trap = fault;
        }
    }

    /** One life of the node's process. */
    final class Process {
        final Life life;
        final Membership membership;
        /** The replicas of the shards; empty at an observer. */
        final List<ShardReplica> replicas = new ArrayList<>();
        /** Null at an observer, and in a layout without observers. */
        final SimulatedFeed feed;
        /** Null unless this is an observer. */
        final SimulatedObserver observer;
        private final Deque<Runnable> inbox = new ArrayDeque<>();
        private final List<Runnable> deferredWork = new ArrayList<>();
        private boolean suspended;
        private boolean tickDue;
        private int ticks;
        private int actionsUntilTrap = -1;
        private Runnable trap;

        private Process(Life life) {
            this.life = life;
            membership = new Membership(SimulatedFleet.MEMBER_SETTINGS, life, address, fleet.seeds(), time.nextSeed());
            for (int shard = 0; holdsReplicas && shard < fleet.shards; shard++) {
                replicas.add(new ShardReplica(this, shard,
                        new Shard(SimulatedFleet.SHARD_SETTINGS, life, fleet.configured, time.nextSeed())));
            }
            feed = holdsReplicas && fleet.layout == Layout.FEW_VOTE ? new SimulatedFeed(fleet, this) : null;
            observer = holdsReplicas ? null : new SimulatedObserver(fleet, this, time.nextSeed());
        }

        Node node() {
            return Node.this;
        }

        boolean isRunning() {
            return process == this && !suspended;
        }

        private void begin() {
            if (directory && holdsReplicas) {
                long awayUs = Math.max(0, wallMs() - endedMs) * 1000;
                replicas.forEach(replica -> replica.handle(
                        new ShardEvent.Restored(fleet.faultInjection.restored(List.copyOf(disk(replica.shard))), awayUs)));
                if (feed != null) {
                    replicas.forEach(replica -> feed.slotsChanged(replica.machine.slots()));
                }
            }
            time.after(time.between(0, TICK_US), this::tick);
        }

        private void tick() {
            if (process != this) {
                return;
            }
            time.after((long) (TICK_US / clockRate), this::tick);
            if (suspended) {
                tickDue = true;
                return;
            }
            handle(new MemberEvent.Tick());
            if (ticks++ % 20 == 0) {
                passOnPeers();
            }
            for (ShardReplica replica : replicas) {
                if (isRunning()) {
                    replica.handle(new ShardEvent.Tick());
                }
            }
            tickFeedAndObserver();
            fleet.oracle.ticked(this);
        }

        private void tickFeedAndObserver() {
            if (feed != null && isRunning()) {
                feed.handle(new FeedEvent.Tick());
            }
            if (observer != null && isRunning()) {
                observer.handle(new ObserverEvent.Tick());
            }
        }

        /** Runs the trap if it is set for the next action, and returns whether it was. */
        boolean triggerTrap() {
            boolean triggered = actionsUntilTrap >= 0 && actionsUntilTrap-- == 0;
            if (triggered) {
                trap.run();
            }
            return triggered;
        }

        private void resume() {
            if (process != this) {
                return;
            }
            time.log("%s resumes with %d messages waiting", name, inbox.size());
            suspended = false;
            List<Runnable> burst = new ArrayList<>(inbox);
            inbox.clear();
            if (tickDue) {
                tickDue = false;
                burst.add(time.below(burst.size() + 1), () -> {
                    handle(new MemberEvent.Tick());
                    replicas.forEach(replica -> replica.handle(new ShardEvent.Tick()));
                    tickFeedAndObserver();
                });
            }
            List.copyOf(deferredWork).forEach(Runnable::run);
            deferredWork.clear();
            replicas.forEach(replica -> replica.out.drain());
            if (feed != null) {
                feed.drain();
            }
            if (observer != null) {
                observer.drain();
            }
            burst.forEach(this::receive);
        }

        /** Handles a message now or, if the process is suspended, when it resumes, unless its socket buffer is full. */
        void receive(Runnable work) {
            if (isRunning()) {
                work.run();
            } else if (process == this && inbox.size() < SOCKET_BUFFER_MESSAGES) {
                inbox.add(work);
            }
        }

        /** Runs work of the process itself now, or when it resumes; unlike a message, the work is never lost. */
        void runWhenResumed(Runnable work) {
            if (isRunning()) {
                work.run();
            } else {
                deferredWork.add(work);
            }
        }

        void handle(MemberEvent event) {
            List<MemberAction> actions = new ArrayList<>();
            membership.handle(clockUs(), fleet.faultInjection.replaceEvent(Node.this, event), actions::add);
            boolean changed = false;
            for (MemberAction action : actions) {
                if (action instanceof MemberAction.SendTo send) {
                    fleet.send(Node.this, send);
                } else if (action instanceof MemberAction.Changed reported) {
                    time.log("%s sees %s %s", name, reported.member().life(), reported.member().standing());
                    changed = true;
                }
            }
            if (changed) {
                passOnPeers();
            }
        }

        private void passOnPeers() {
            Map<String, Long> living = membership.roundTripBoundsUs();
            if (fleet.layout == Layout.FEW_VOTE) {
                living = new TreeMap<>(living);
                living.keySet().retainAll(fleet.configured);
            }
            if (feed != null && isRunning()) {
                feed.handle(new FeedEvent.LiveVoters(living.keySet()));
            }
            if (observer != null && isRunning()) {
                observer.handle(new ObserverEvent.LiveVoters(living));
            }
            ShardEvent.LivePeers peers = new ShardEvent.LivePeers(living);
            for (ShardReplica replica : replicas) {
                if (isRunning()) {
                    replica.handle(peers);
                }
            }
        }
    }

    /** A process's replica of one shard, and the actions of the replica that are still to be carried out, in order. */
    final class ShardReplica {
        final Process owner;
        final int shard;
        final Shard machine;
        /** The state that the oracle keeps about this replica. */
        final Oracle.View view = new Oracle.View();
        private final ActionQueue<ShardAction> out;
        private List<Slot> slotsBeingWritten;

        ShardReplica(Process owner, int shard, Shard machine) {
            this.owner = owner;
            this.shard = shard;
            this.machine = machine;
            out = new ActionQueue<>(owner, time, this::carryOut);
        }

        void handle(ShardEvent event) {
            for (ShardEvent injectedEvent : fleet.faultInjection.replaceEvent(Node.this, shard, event)) {
                if (process != owner) {
                    return;
                }
                List<ShardAction> actions = new ArrayList<>();
                machine.handle(clockUs(), injectedEvent, actions::add);
                for (ShardAction action : actions) {
                    for (ShardAction injectedAction : fleet.faultInjection.replaceAction(Node.this, shard, action)) {
                        fleet.oracle.emitted(this, injectedAction);
                        out.add(injectedAction);
                    }
                }
            }
            out.drain();
        }

        private void carryOut(ShardAction action, long createdUs) {
            if (action instanceof ShardAction.Send send) {
                boolean carriesEntries = send.message() instanceof ShardMessage.Entries;
                if (time.nowUs() - createdUs <= (carriesEntries ? MAX_ENTRY_SEND_DELAY_US : MAX_SEND_DELAY_US)) {
                    fleet.send(this, send);
                }
            } else if (action instanceof ShardAction.Persist persist) {
                persist(persist.slots());
            } else {
                fleet.oracle.carriedOut(this, action);
                if (owner.feed != null) {
                    owner.feed.shardActed(this, action);
                }
            }
        }

        private void persist(List<Slot> slots) {
            if (directory) {
                slotsBeingWritten = slots;
                out.pause();
                time.after(time.between(0, maxWriteUs), () -> {
                    if (process == owner) {
                        write(slots);
                        slotsBeingWritten = null;
                        passToFeed(slots);
                        out.resume();
                    }
                });
            } else {
                passToFeed(slots);
            }
        }

        private void passToFeed(List<Slot> slots) {
            if (owner.feed != null) {
                owner.runWhenResumed(() -> owner.feed.slotsChanged(slots));
            }
        }

        private void write(List<Slot> slots) {
            for (Slot slot : slots) {
                disk.get(shard).remove(slot.key());
                if (!slot.hasNoHistory()) {
                    disk.get(shard).put(slot.key(), slot);
                }
            }
            fleet.oracle.written(Node.this, slots);
        }
    }
}

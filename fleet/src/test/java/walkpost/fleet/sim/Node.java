package walkpost.fleet.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import walkpost.fleet.copy.CopyAction;
import walkpost.fleet.copy.CopyEvent;
import walkpost.fleet.copy.CopyMessage;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Shard;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.member.Address;
import walkpost.fleet.member.Life;
import walkpost.fleet.member.MemberAction;
import walkpost.fleet.member.MemberEvent;
import walkpost.fleet.member.Membership;
import walkpost.fleet.observe.FeedEvent;
import walkpost.fleet.observe.ObserverEvent;

/**
 * One computer: its clocks and disk, which outlast its process, and the process while there is one. The process does what the fleet's
 * shell does: it ticks the machines, hands them messages and carries out their actions in order, a write to disk before what follows it.
 */
final class Node {
    private static final long TICK_US = 50 * Timeline.MS;
    private static final int SOCKET_BUFFER = 256;
    /** What the shell does not send any more, as it waited for the disk, or the process stood still; facts do not count that time. */
    static final long LATE_US = Timeline.S;
    private static final long LATE_FACTS_US = Timeline.S / 10;

    final int index;
    final String name;
    final Address address;
    final boolean directory;
    /** Whether it keeps copies of shards; else it is an observer. */
    final boolean copies;
    /** Where it runs, in a layout with observers. */
    final String region;
    private final Cluster cluster;
    private final Timeline time;
    private final double rate;
    private final long epochUs;
    private final long slowestWriteUs;
    private final List<Map<Order.Key, Slot>> disk = new ArrayList<>();
    private long wallStepMs;
    private long lastIncarnation;
    private long endedMs;
    private long stoodStillUs;
    private Process process;

    Node(Cluster cluster, int index, boolean directory) {
        this.cluster = cluster;
        this.index = index;
        this.directory = directory;
        time = cluster.time;
        name = "n" + index;
        address = new Address("127.0.0." + (index + 1), 7401);
        rate = 1 + time.between(-20, 20) / 1000.0;
        epochUs = time.between(0, 1_000_000 * Timeline.S);
        copies = cluster.layout == Layout.ALL_COPY || index < Cluster.VOTERS;
        region = cluster.layout == Layout.ALL_COPY ? "" : Cluster.REGIONS.get(time.below(Cluster.REGIONS.size()));
        slowestWriteUs = time.chance(0.2) ? 300 * Timeline.MS : 5 * Timeline.MS;
        for (int shard = 0; shard < cluster.shards; shard++) {
            disk.add(new LinkedHashMap<>());
        }
    }

    Process process() {
        return process;
    }

    boolean alive() {
        return process != null;
    }

    /** The monotonic clock: up to 2% wrong, from an arbitrary beginning, and never stepped. */
    long clockUs() {
        return cluster.plant.clockUs(this, epochUs + (long) (time.nowUs() * rate));
    }

    /** Steps the wall clock, which nothing but a start looks at. */
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
        time.note("%s starts as %d", name, incarnation);
        process.begin();
    }

    /** Ends the process at once; each write under way has reached the disk, or has not, or in part. */
    void kill() {
        if (process != null) {
            time.note("%s is killed", name);
            Process dead = process;
            process = null;
            endedMs = wallMs();
            for (Lane lane : dead.lanes) {
                if (lane.writing != null && time.chance(0.5)) {
                    lane.write(time.chance(0.5) ? lane.writing : lane.writing.subList(0, time.below(lane.writing.size() + 1)));
                }
            }
            cluster.oracle.killed(this, dead);
        }
    }

    /** Has this node's shard read a message that nobody sent. */
    void forge(int shard, String from, CopyMessage message) {
        Process reader = process;
        time.after(Timeline.MS, () -> reader.receive(() -> reader.lanes.get(shard).handle(new CopyEvent.Received(from, message))));
    }

    /** Returns for how long the processes of this node have been stopped, by its clock. */
    long stoodStillUs() {
        return stoodStillUs;
    }

    /** Stops the process for so long, as SIGSTOP and SIGCONT do; what arrives meanwhile waits, up to a bound. */
    void stop(long forUs) {
        Process stopped = process;
        if (stopped != null && !stopped.stopped) {
            time.note("%s stops for %d ms", name, forUs / 1000);
            stopped.stopped = true;
            cluster.oracle.stopped(stopped, forUs);
            time.after(forUs, () -> {
                stoodStillUs += (long) (forUs * rate);
                stopped.resume();
            });
        }
    }

    /** Kills or stops the process in the middle of a batch, at the so many-th action from now. */
    void trap(int actions, Runnable fault) {
        if (process != null) {
            process.trapIn = actions;
            process.trap = fault;
        }
    }

    /** One life of the node's process. */
    final class Process {
        final Life life;
        final Membership membership;
        /** Empty at an observer. */
        final List<Lane> lanes = new ArrayList<>();
        /** Null where there are no observers, and at one. */
        final FeedLane feed;
        /** Null unless this is an observer. */
        final ObserverLane observer;
        private final Deque<Runnable> waiting = new ArrayDeque<>();
        private final List<Runnable> owed = new ArrayList<>();
        private boolean stopped;
        private boolean tickDue;
        private int ticks;
        private int trapIn = -1;
        private Runnable trap;

        private Process(Life life) {
            this.life = life;
            membership = new Membership(Cluster.MEMBERS, life, address, cluster.seeds(), time.nextSeed());
            for (int shard = 0; copies && shard < cluster.shards; shard++) {
                lanes.add(new Lane(this, shard, new Shard(Cluster.COPY, life, cluster.configured, time.nextSeed())));
            }
            feed = copies && cluster.layout == Layout.FEW_VOTE ? new FeedLane(cluster, this) : null;
            observer = copies ? null : new ObserverLane(cluster, this, time.nextSeed());
        }

        Node node() {
            return Node.this;
        }

        boolean runs() {
            return process == this && !stopped;
        }

        private void begin() {
            if (directory && copies) {
                long awayUs = Math.max(0, wallMs() - endedMs) * 1000;
                lanes.forEach(lane -> lane.handle(
                        new CopyEvent.Restored(cluster.plant.restored(List.copyOf(disk(lane.shard))), awayUs)));
                if (feed != null) {
                    lanes.forEach(lane -> feed.changed(lane.machine.slots()));
                }
            }
            time.after(time.between(0, TICK_US), this::tick);
        }

        private void tick() {
            if (process != this) {
                return;
            }
            time.after((long) (TICK_US / rate), this::tick);
            if (stopped) {
                tickDue = true;
                return;
            }
            handle(new MemberEvent.Tick());
            if (ticks++ % 20 == 0) {
                tellPeers();
            }
            for (Lane lane : lanes) {
                if (runs()) {
                    lane.handle(new CopyEvent.Tick());
                }
            }
            tickObserving();
            cluster.oracle.ticked(this);
        }

        private void tickObserving() {
            if (feed != null && runs()) {
                feed.handle(new FeedEvent.Tick());
            }
            if (observer != null && runs()) {
                observer.handle(new ObserverEvent.Tick());
            }
        }

        /** Returns whether a trap was due at this action, and sprang. */
        boolean sprang() {
            boolean springs = trapIn >= 0 && trapIn-- == 0;
            if (springs) {
                trap.run();
            }
            return springs;
        }

        private void resume() {
            if (process != this) {
                return;
            }
            time.note("%s goes on with %d waiting", name, waiting.size());
            stopped = false;
            List<Runnable> burst = new ArrayList<>(waiting);
            waiting.clear();
            if (tickDue) {
                tickDue = false;
                burst.add(time.below(burst.size() + 1), () -> {
                    handle(new MemberEvent.Tick());
                    lanes.forEach(lane -> lane.handle(new CopyEvent.Tick()));
                    tickObserving();
                });
            }
            List.copyOf(owed).forEach(Runnable::run);
            owed.clear();
            lanes.forEach(lane -> lane.out.drain());
            if (feed != null) {
                feed.drain();
            }
            if (observer != null) {
                observer.drain();
            }
            burst.forEach(this::receive);
        }

        /** Lets the process work on something now, or when it goes on. */
        void receive(Runnable work) {
            if (runs()) {
                work.run();
            } else if (process == this && waiting.size() < SOCKET_BUFFER) {
                waiting.add(work);
            }
        }

        /** Has the process do something of its own, now or when it goes on; unlike a message it never gets lost. */
        void whenItRuns(Runnable work) {
            if (runs()) {
                work.run();
            } else {
                owed.add(work);
            }
        }

        void handle(MemberEvent event) {
            List<MemberAction> actions = new ArrayList<>();
            membership.handle(clockUs(), cluster.plant.reaching(Node.this, event), actions::add);
            boolean changed = false;
            for (MemberAction action : actions) {
                if (action instanceof MemberAction.SendTo send) {
                    cluster.carry(Node.this, send);
                } else if (action instanceof MemberAction.Changed news) {
                    time.note("%s holds %s %s", name, news.member().life(), news.member().standing());
                    changed = true;
                }
            }
            if (changed) {
                tellPeers();
            }
        }

        private void tellPeers() {
            Map<String, Long> living = membership.roundTripUs();
            if (cluster.layout == Layout.FEW_VOTE) {
                living = new TreeMap<>(living);
                living.keySet().retainAll(cluster.configured);
            }
            if (feed != null && runs()) {
                feed.handle(new FeedEvent.Voters(living.keySet()));
            }
            if (observer != null && runs()) {
                observer.handle(new ObserverEvent.Voters(living));
            }
            CopyEvent.Peers peers = new CopyEvent.Peers(living);
            for (Lane lane : lanes) {
                if (runs()) {
                    lane.handle(peers);
                }
            }
        }
    }

    /** One shard of a process, and its actions that are still to be carried out, in order. */
    final class Lane {
        final Process owner;
        final int shard;
        final Shard machine;
        final Oracle.View view = new Oracle.View();
        private final Outgoing<CopyAction> out;
        private List<Slot> writing;

        Lane(Process owner, int shard, Shard machine) {
            this.owner = owner;
            this.shard = shard;
            this.machine = machine;
            out = new Outgoing<>(owner, time, this::carry);
        }

        void handle(CopyEvent event) {
            for (CopyEvent reaching : cluster.plant.reaching(Node.this, shard, event)) {
                if (process != owner) {
                    return;
                }
                List<CopyAction> actions = new ArrayList<>();
                machine.handle(clockUs(), reaching, actions::add);
                for (CopyAction action : actions) {
                    for (CopyAction leaving : cluster.plant.leaving(Node.this, shard, action)) {
                        cluster.oracle.emitted(this, leaving);
                        out.add(leaving);
                    }
                }
            }
            out.drain();
        }

        private void carry(CopyAction action, long madeUs) {
            if (action instanceof CopyAction.Send send) {
                boolean facts = send.message() instanceof CopyMessage.Facts;
                if (time.nowUs() - madeUs <= (facts ? LATE_FACTS_US : LATE_US)) {
                    cluster.carry(this, send);
                }
            } else if (action instanceof CopyAction.Persist persist) {
                persist(persist.slots());
            } else {
                cluster.oracle.carried(this, action);
                if (owner.feed != null) {
                    owner.feed.carried(this, action);
                }
            }
        }

        private void persist(List<Slot> slots) {
            if (directory) {
                writing = slots;
                out.hold();
                time.after(time.between(0, slowestWriteUs), () -> {
                    if (process == owner) {
                        write(slots);
                        writing = null;
                        feed(slots);
                        out.release();
                    }
                });
            } else {
                feed(slots);
            }
        }

        private void feed(List<Slot> slots) {
            if (owner.feed != null) {
                owner.whenItRuns(() -> owner.feed.changed(slots));
            }
        }

        private void write(List<Slot> slots) {
            for (Slot slot : slots) {
                disk.get(shard).remove(slot.key());
                if (!slot.none()) {
                    disk.get(shard).put(slot.key(), slot);
                }
            }
            cluster.oracle.written(Node.this, slots);
        }
    }
}

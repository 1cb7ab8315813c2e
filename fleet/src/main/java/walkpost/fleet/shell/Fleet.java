package walkpost.fleet.shell;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;
import walkpost.fleet.FleetException;
import walkpost.fleet.FleetException.BadCall;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.ShardSettings;
import walkpost.fleet.member.Address;
import walkpost.fleet.member.Life;
import walkpost.fleet.member.Member;
import walkpost.fleet.member.MemberEvent;
import walkpost.fleet.member.MemberSettings;
import walkpost.fleet.member.Membership;

/**
 * One member of the fleet: its membership, which all have, and a {@link Part} by what it is. Owns its sockets and files; its threads are
 * those of a {@link FleetThreads}, its own or one that it shares, and one that writes the directory where there is one. {@link #close}
 * ends what it owns. None of these threads runs a listener's code, but for one that is given as its own executor, and those stages that
 * are chained to an order's.
 */
public final class Fleet implements FleetHandle {
    /** Sockets and files that a member alone holds at the most: its bound ones, connections either way, selector, log and lock. */
    public static final int MOST_DESCRIPTORS = 2 + Transport.MOST_INBOUND + Transport.MOST_OUTBOUND + 3 + 4;
    private static final int LOOPS = 1;
    private static final int WORKERS = 2;
    private static final long TICK_MS = 50;
    private static final int TICKS_A_SECOND = 20;
    private static final int TICKS_A_MINUTE = 60 * TICKS_A_SECOND;
    private static final int END_S = 2;

    /** What a member goes by besides its file. */
    private record Settings(MemberSettings member, ShardSettings copy, Directory.Settings directory, OrderLog.Opener opener) {
        static Settings usual() {
            return new Settings(MemberSettings.defaults(), ShardSettings.defaults(), Directory.Settings.USUAL, LogFile::new);
        }
    }

    private final FleetFile file;
    private final Counters counters;
    private final Codec codec;
    private final Transport transport;
    private final EventLoop loop;
    private final Address address;
    private final MemberLane members;
    private final Part part;
    /** Null where they are shared. */
    private final FleetThreads own;
    private final AtomicBoolean closed = new AtomicBoolean();

    // The loop's from here on.
    private final Map<String, Long> droppedTold = new HashMap<>();
    private Future<?> ticking;
    private long ticks;

    /**
     * Opens a member with threads of its own.
     *
     * @param file as {@code docs/fleet.md} has it
     * @param environment names the member where the file doesn't
     * @throws FleetException if the file makes no sense, or the address or the directory can't be had; nothing is held then
     */
    public static Fleet open(Path file, Map<String, String> environment) throws FleetException {
        return openAlone(FleetFile.read(file, environment), Settings.usual());
    }

    /**
     * Opens one of several members of a process. Besides the threads, which others may use as well, it holds two descriptors while it
     * is quiet, and a thread where it has a directory.
     *
     * @param threads to be closed after this member
     * @throws FleetException if the address or the directory can't be had; nothing is held then
     */
    public static Fleet open(FleetFile file, FleetThreads threads) throws FleetException {
        return open(file, threads, null, Settings.usual());
    }

    /** Opens it with times of the caller's, and files that may fail. */
    static Fleet open(FleetFile file, MemberSettings memberSettings, ShardSettings copySettings, Directory.Settings directorySettings,
            OrderLog.Opener opener) throws FleetException {
        return openAlone(file, new Settings(memberSettings, copySettings, directorySettings, opener));
    }

    private static Fleet openAlone(FleetFile file, Settings settings) throws FleetException {
        var threads = new FleetThreads(LOOPS, WORKERS);
        Fleet fleet = null;
        try {
            fleet = open(file, threads, threads, settings);
            return fleet;
        } finally {
            if (fleet == null) {
                threads.close();
            }
        }
    }

    private static Fleet open(FleetFile file, FleetThreads threads, FleetThreads own, Settings settings) throws FleetException {
        var counters = new Counters();
        var receiver = new AtomicReference<Predicate<byte[]>>(message -> true);
        Store store = file.observer() ? null : new Store(file, settings.directory, settings.opener);
        Transport transport = null;
        Fleet fleet = null;
        boolean started = false;
        try {
            transport = new Transport(threads.loop(), file.bind(), message -> receiver.get().test(message), counters);
            fleet = new Fleet(file, counters, store, transport, threads, own, settings);
            receiver.set(fleet::received);
            fleet.start();
            started = true;
            return fleet;
        } finally {
            if (fleet != null && !started) {
                fleet.close();
            } else if (fleet == null) {
                if (transport != null) {
                    transport.close();
                }
                if (store != null) {
                    store.close();
                }
            }
        }
    }

    private Fleet(FleetFile file, Counters counters, Store store, Transport transport, FleetThreads threads, FleetThreads own,
            Settings settings) {
        this.file = file;
        this.counters = counters;
        this.transport = transport;
        this.own = own;
        loop = transport.loop();
        address = file.advertise() != null ? file.advertise() : transport.bound();
        codec = new Codec(file.cluster(), file.shards(), file.secret(), counters);
        var life = new Life(file.name(), System.currentTimeMillis());
        var random = ThreadLocalRandom.current();
        var sender = new Sender(file, counters, codec, transport, address);
        members = new MemberLane(new Membership(settings.member, life, address, file.seeds(), random.nextLong()), life, Clock.MONOTONIC,
                counters, transport, sender::encoded, Set.copyOf(file.voters()), this::changed);
        sender.knows(members);
        part = store == null ? new ObservingPart(file, life, counters, threads.workers(), sender, random.nextLong())
                : new VotingPart(file, life, settings.copy, store, counters, transport, threads.workers(), sender, random::nextLong);
    }

    private void start() {
        Log.info("fleet_started", "cluster", file.cluster(), "member", file.name(), "incarnation", members.self().incarnation(),
                "bind", transport.bound(), "advertise", address, "members", file.configured().size(), "shards", file.shards(), "votes", !file.observer());
        part.start();
        loop.execute(() -> {
            members.handle(new MemberEvent.Tick());
            if (!closed.get()) {
                ticking = loop.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
            }
        });
    }

    private void tick() {
        if (closed.get()) {
            ticking.cancel(false);
            return;
        }
        try {
            passed();
        } catch (RuntimeException e) {
            // A task that throws is not run again.
            counters.add("failures", 1);
            Log.failure("tick_failed", e);
        }
    }

    private void passed() {
        members.handle(new MemberEvent.Tick());
        ticks++;
        if (ticks % TICKS_A_SECOND == 0) {
            tellPeers();
        }
        if (ticks % TICKS_A_MINUTE == 0) {
            tellDropped();
        }
        part.tick();
    }

    /**
     * Where some vote, only those are peers to anybody: to tell all peers anew of each of hundreds who join, or come under suspicion, would
     * cost every member the square of them.
     */
    private void changed(Member member) {
        if (file.voters().isEmpty() || file.voters().contains(member.life().name())) {
            tellPeers();
        }
    }

    private void tellPeers() {
        part.peers(members.peers());
    }

    private void tellDropped() {
        var fields = new ArrayList<Object>();
        counters.all().forEach((name, count) -> {
            long more = count - droppedTold.getOrDefault(name, 0L);
            if (name.startsWith(Counters.DROPPED) && more > 0) {
                droppedTold.put(name, count);
                fields.add(name.substring(Counters.DROPPED.length()));
                fields.add(more);
            }
        });
        if (!fields.isEmpty()) {
            Log.warn("messages_dropped", fields.toArray());
        }
    }

    /** Takes a message; on the loop. Returns false where it is none of this cluster's. */
    private boolean received(byte[] message) {
        Envelope envelope = codec.decode(message);
        if (envelope == null) {
            return false;
        }
        if (closed.get()) {
            return true;
        }
        Life from = envelope.from();
        if (envelope.member() != null) {
            members.handle(new MemberEvent.Received(envelope.at(), envelope.member()));
        } else if (from.name().equals(file.name())) {
            counters.dropped("own_name");
        } else if (formerLife(from)) {
            counters.dropped("former_life");
        } else {
            part.received(envelope, message.length);
        }
        return true;
    }

    /** Returns whether a member has begun anew since it said this: what it promised in a former life it may not know of any more. */
    private boolean formerLife(Life from) {
        Member known = members.known(from.name());
        return known != null && known.life().incarnation() > from.incarnation();
    }

    @Override
    public void listen(Executor executor, FleetListener listener) {
        var outlet = new Outlet(executor, listener);
        transport.onLoop(() -> {
            members.listen(outlet);
            part.listen(outlet);
        });
    }

    @Override
    public void writeEntry(String topic, String subject, String payload) {
        part.writeEntry(topic, subject, payload);
    }

    @Override
    public CompletionStage<Order> order(Order.Key key, String id, String replaces, String payload) {
        if (key == null || key.topic() == null || key.subject() == null || id == null) {
            return CompletableFuture.failedFuture(new BadCall("an order needs a topic, a subject and an id"));
        }
        return part.order(key, id, replaces, payload);
    }

    @Override
    public String name() {
        return file.name();
    }

    /** Returns where the others reach this member. */
    public Address address() {
        return address;
    }

    @Override
    public List<Member> members() {
        return members.members();
    }

    @Override
    public boolean isCaughtUp() {
        return part.isCaughtUp();
    }

    @Override
    public Map<Order.Key, EffectiveOrder> orders() {
        return part.orders();
    }

    @Override
    public CompletionStage<TopicEntries> entries(String topic) {
        return part.entries(topic);
    }

    @Override
    public CompletionStage<Coverage> held(Order.Key key, String id) {
        return part.held(key, id);
    }

    @Override
    public long controlAgeUs() {
        return part.controlAgeUs();
    }

    @Override
    public Map<String, Integer> lives() {
        return part.lives();
    }

    @Override
    public List<String> voters() {
        return file.voters();
    }

    @Override
    public List<String> feeds() {
        return part.feeds();
    }

    @Override
    public long boundUs(String topic) {
        return file.boundUs(topic);
    }

    @Override
    public Map<String, Long> counters() {
        var all = new TreeMap<>(counters.all());
        all.putAll(members.figures());
        part.figures().forEach((name, count) -> all.merge(name.replace('.', '_'), count, Long::sum));
        return all;
    }

    /**
     * Says good-bye to the others and releases everything, in a few seconds at the most. Orders under way are answered
     * {@link FleetException.Uncertain}. Not to be called by one of the fleet's own threads.
     */
    @Override
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        if (!loop.isShuttingDown()) {
            loop.submit(() -> {
                members.handle(new MemberEvent.Leave());
                if (ticking != null) {
                    ticking.cancel(false);
                }
            }).awaitUninterruptibly(END_S, TimeUnit.SECONDS);
        }
        part.close();
        transport.close();
        if (own != null) {
            own.close();
        }
        part.end();
        Log.info("fleet_closed", "member", file.name());
    }
}

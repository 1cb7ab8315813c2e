package walkpost.fleet.shell;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;
import walkpost.fleet.FleetException;
import walkpost.fleet.FleetException.BadCall;
import walkpost.fleet.FleetException.BadDirectory;
import walkpost.fleet.FleetException.NotLevel;
import walkpost.fleet.FleetException.Uncertain;
import walkpost.fleet.copy.Acting;
import walkpost.fleet.copy.CopyEvent;
import walkpost.fleet.copy.CopyMessage;
import walkpost.fleet.copy.CopySettings;
import walkpost.fleet.copy.Fact;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Shard;
import walkpost.fleet.copy.Shards;
import walkpost.fleet.member.Address;
import walkpost.fleet.member.Life;
import walkpost.fleet.member.Member;
import walkpost.fleet.member.MemberEvent;
import walkpost.fleet.member.MemberMessage;
import walkpost.fleet.member.MemberSettings;
import walkpost.fleet.member.Membership;

/**
 * A process's part in the fleet. Owns all threads, sockets and files of it: one event loop for the sockets, the ticks and the
 * membership; a small pool that works the shards; one thread that writes the directory. {@link #close} ends all of it. None of its
 * threads runs a listener's code, but for one that is given as its own executor, and those stages that are chained to an order's.
 */
public final class Fleet implements FleetHandle {
    /** Sockets and files that a member holds at the most: its bound ones, connections either way, selector, log and lock. */
    public static final int MOST_DESCRIPTORS = 2 + Transport.MOST_INBOUND + Transport.MOST_OUTBOUND + 3 + 4;
    private static final int THREADS = 2;
    private static final long TICK_MS = 50;
    private static final int TICKS_A_SECOND = 20;
    private static final int TICKS_A_MINUTE = 60 * TICKS_A_SECOND;
    private static final int END_S = 2;

    private final FleetFile file;
    private final Counters counters;
    private final Codec codec;
    private final Directory directory;
    private final Transport transport;
    private final EventLoop loop;
    private final Address address;
    private final ExecutorService pool = Executors.newFixedThreadPool(THREADS, new DefaultThreadFactory("fleet-shards", true));
    private final MemberLane members;
    private final List<ShardLane> shards = new ArrayList<>();
    private final Callers callers = new Callers();
    private final AtomicReference<BadDirectory> trouble;
    private final AtomicBoolean closed = new AtomicBoolean();
    private volatile boolean level;

    // The loop's from here on.
    private final boolean[] shardLevel;
    private final List<Outlet> outlets = new ArrayList<>();
    private final Map<String, Long> droppedTold = new HashMap<>();
    private long ticks;

    /**
     * Opens the fleet's part of a process.
     *
     * @param file as {@code docs/fleet.md} has it
     * @param environment names the member where the file doesn't
     * @throws FleetException if the file makes no sense, or the address or the directory can't be had; nothing is held then
     */
    public static Fleet open(Path file, Map<String, String> environment) throws FleetException {
        FleetFile read = FleetFile.read(file, environment);
        return open(read, MemberSettings.usual(), CopySettings.usual(), Directory.Settings.USUAL, LogFile::new);
    }

    /** Opens it with times of the caller's, and files that may fail. */
    static Fleet open(FleetFile file, MemberSettings memberSettings, CopySettings copySettings, Directory.Settings directorySettings,
            OrderLog.Opener opener) throws FleetException {
        var counters = new Counters();
        var trouble = new AtomicReference<BadDirectory>();
        var changed = new AtomicReference<Runnable>(() -> { });
        var receiver = new AtomicReference<Predicate<byte[]>>(message -> true);
        Directory directory = file.directory() == null ? null
                : new Directory(file.directory(), file.cluster(), file.name(), directorySettings, opener, reason -> {
                    trouble.set(reason);
                    changed.get().run();
                });
        Transport transport = null;
        Fleet fleet = null;
        boolean started = false;
        try {
            transport = new Transport(file.bind(), message -> receiver.get().test(message), counters);
            fleet = new Fleet(file, counters, directory, transport, trouble, memberSettings, copySettings);
            changed.set(fleet::troubleChanged);
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
                if (directory != null) {
                    directory.close();
                }
            }
        }
    }

    private Fleet(FleetFile file, Counters counters, Directory directory, Transport transport, AtomicReference<BadDirectory> trouble,
            MemberSettings memberSettings, CopySettings copySettings) {
        this.file = file;
        this.counters = counters;
        this.directory = directory;
        this.transport = transport;
        this.trouble = trouble;
        loop = transport.loop();
        address = file.advertise() != null ? file.advertise() : transport.bound();
        codec = new Codec(file.cluster(), file.shards(), file.secret(), counters);
        shardLevel = new boolean[file.shards()];
        var life = new Life(file.name(), System.currentTimeMillis());
        var random = ThreadLocalRandom.current();
        members = new MemberLane(new Membership(memberSettings, life, address, file.seeds(), random.nextLong()), life, Clock.MONOTONIC,
                counters, transport, this::encoded, this::tellPeers);
        CopySettings settings = copySettings.withBounds(file.bounds(), FleetFile.OTHER_BOUND_US);
        for (int i = 0; i < file.shards(); i++) {
            var shard = new Shard(settings, life, Set.copyOf(file.members()), random.nextLong());
            shards.add(new ShardLane(i, shard, file.name(), Clock.MONOTONIC, counters, pool, directory, new Around()));
        }
    }

    private void start() {
        Log.info("fleet_started", "cluster", file.cluster(), "member", file.name(), "incarnation", members.self().incarnation(),
                "bind", transport.bound(), "advertise", address, "members", file.members().size(), "shards", file.shards());
        if (directory != null) {
            restore();
        }
        loop.execute(() -> members.handle(new MemberEvent.Tick()));
        loop.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private void restore() {
        if (directory.torn() > 0) {
            Log.warn("torn_tail_cut", "directory", file.directory(), "bytes", directory.torn());
        }
        var slots = directory.restored();
        Log.info("orders_restored", "directory", file.directory(), "keys", slots.size(), "away_ms", directory.awayUs() / 1_000);
        for (int i = 0; i < shards.size(); i++) {
            int number = i;
            shards.get(i).offer(new CopyEvent.Restored(
                    slots.stream().filter(slot -> shardOf(slot.key().topic(), slot.key().subject()) == number).toList(),
                    directory.awayUs()));
        }
    }

    private int shardOf(String topic, String subject) {
        return Shards.of(topic, subject, shards.size());
    }

    private void tick() {
        if (closed.get()) {
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
        shards.forEach(ShardLane::tick);
        callers.tick(this::uncertain);
    }

    private void tellPeers() {
        CopyEvent.Peers peers = members.peers();
        shards.forEach(shard -> shard.peers(peers));
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
            shards.get(envelope.shard()).offer(new CopyEvent.Received(from.name(), envelope.copy()), message.length);
        }
        return true;
    }

    /** Returns whether a member has begun anew since it said this: what it promised in a former life it may not know of any more. */
    private boolean formerLife(Life from) {
        Member known = members.known(from.name());
        return known != null && known.life().incarnation() > from.incarnation();
    }

    private byte[] encoded(MemberMessage message) {
        return encoded(Envelope.of(message, file.cluster(), members.self(), address, file.shards()));
    }

    private byte[] encoded(Envelope envelope) {
        try {
            return codec.encode(envelope);
        } catch (IllegalArgumentException e) {
            counters.add("failures", 1);
            Log.failure("message_not_written", e);
            return null;
        }
    }

    /** What the shards' lanes call, on a thread of the pool. */
    private final class Around implements ShardLane.Surroundings {
        @Override
        public void send(int shard, String to, CopyMessage message) {
            Member member = members.known(to);
            if (member == null) {
                counters.dropped("unknown_member");
                return;
            }
            byte[] bytes = encoded(Envelope.of(message, shard, file.cluster(), members.self(), address, file.shards()));
            if (bytes != null) {
                transport.send(member.address(), bytes, false);
            }
        }

        @Override
        public void level(int shard, boolean now) {
            transport.onLoop(() -> {
                shardLevel[shard] = now;
                levelChanged();
            });
        }

        @Override
        public void acknowledged(String id, Order order) {
            Log.info("order_acknowledged", "id", id, "topic", order.key().topic(), "subject", order.key().subject(),
                    "version", order.version());
            callers.acknowledged(id, order);
        }

        @Override
        public void refused(String id, FleetException why) {
            Log.warn("order_refused", "id", id, "error", why.getClass().getSimpleName(), "reason", why.getMessage());
            callers.refused(id, why);
        }
    }

    private void troubleChanged() {
        BadDirectory reason = trouble.get();
        if (reason == null) {
            Log.info("directory_works_again", "directory", file.directory());
        } else {
            Log.warn("directory_refuses", "directory", file.directory(), "reason", reason.getMessage());
        }
        transport.onLoop(this::levelChanged);
    }

    private void levelChanged() {
        boolean now = trouble.get() == null;
        for (boolean one : shardLevel) {
            now &= one;
        }
        if (now == level) {
            return;
        }
        level = now;
        if (directory != null) {
            directory.level(now);
        }
        if (now) {
            Log.info("level");
        } else {
            Log.warn("level_lost", "members", members.members().size());
        }
        boolean told = now;
        outlets.forEach(outlet -> outlet.put(listener -> listener.level(told)));
    }

    @Override
    public void listen(Executor executor, FleetListener listener) {
        var outlet = new Outlet(executor, listener);
        transport.onLoop(() -> {
            members.listen(outlet);
            boolean now = level;
            outlet.put(l -> l.level(now));
            outlets.add(outlet);
            shards.forEach(shard -> shard.listen(outlet, this::boundUs));
        });
    }

    @Override
    public void tell(String topic, String subject, String payload) {
        shards.get(shardOf(topic, subject)).offer(new CopyEvent.Tell(topic, subject, payload));
    }

    @Override
    public CompletionStage<Order> order(Order.Key key, String id, String replaces, String payload) {
        BadDirectory reason = trouble.get();
        if (key == null || key.topic() == null || key.subject() == null || id == null) {
            return CompletableFuture.failedFuture(new BadCall("an order needs a topic, a subject and an id"));
        }
        if (reason != null) {
            return CompletableFuture.failedFuture(reason);
        }
        if (closed.get()) {
            return CompletableFuture.failedFuture(new NotLevel(file.name(), 0, file.members().size() / 2 + 1));
        }
        CompletableFuture<Order> answer = callers.add(id);
        shards.get(shardOf(key.topic(), key.subject())).offer(new CopyEvent.Propose(key, id, replaces, payload));
        if (closed.get()) {
            callers.end(this::uncertain);
        }
        return answer;
    }

    /** The truth about an order that no answer came for: nobody here knows how far it got. */
    private FleetException uncertain(String id) {
        return new Uncertain(id, file.members().stream().filter(name -> !name.equals(file.name())).toList());
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
    public boolean level() {
        return level;
    }

    @Override
    public Map<Order.Key, Acting> orders() {
        var all = new HashMap<Order.Key, Acting>();
        shards.forEach(shard -> all.putAll(shard.acting()));
        return Map.copyOf(all);
    }

    @Override
    public List<Fact> facts(String topic) {
        return shards.stream().flatMap(shard -> shard.facts(topic).stream()).toList();
    }

    @Override
    public long boundUs(String topic) {
        return file.boundUs(topic);
    }

    @Override
    public Map<String, Long> counters() {
        var all = new TreeMap<>(counters.all());
        var figures = members.figures();
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
        shards.forEach(shard -> shard.figures().forEach((name, count) -> all.merge(name.replace('.', '_'), count, Long::sum)));
        figures.dropped().forEach((cause, count) -> all.put("member_" + Counters.DROPPED + cause.name().toLowerCase(Locale.ROOT), count));
        return all;
    }

    /**
     * Says good-bye to the others and releases everything, in a few seconds at the most. Orders under way are answered
     * {@link Uncertain}. Not to be called by one of the fleet's own threads.
     */
    @Override
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        if (!loop.isShuttingDown()) {
            loop.submit(() -> members.handle(new MemberEvent.Leave())).awaitUninterruptibly(END_S, TimeUnit.SECONDS);
        }
        pool.shutdown();
        try {
            pool.awaitTermination(END_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (directory != null) {
            directory.close();
        }
        transport.close();
        callers.end(this::uncertain);
        Log.info("fleet_closed", "member", file.name());
    }
}

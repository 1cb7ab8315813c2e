package walkpost.fleet.shell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import walkpost.fleet.FleetException;
import walkpost.fleet.FleetException.BadCall;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.ShardMessage;
import walkpost.fleet.copy.ShardSettings;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.member.Address;
import walkpost.fleet.member.Life;
import walkpost.fleet.member.Member;
import walkpost.fleet.member.MemberMessage;
import walkpost.fleet.member.MemberSettings;
import walkpost.fleet.observe.ObserveMessage;

/** Voters and observers in one process, over loopback. Each wait ends with an event; its bound only ends a failed test. */
final class ObservingTest {
    private static final int FAILED_S = 60;
    private static final int SHARDS = 4;
    private static final Order.Key KEY = new Order.Key("exclusion", "tile-1");
    private static final Secret SECRET = new Secret(new byte[32]);
    private static final List<String> VOTERS = List.of("v1", "v2", "v3");
    private static final List<String> OBSERVERS = List.of("o1", "o2", "o3", "o4", "o5", "o6");
    private static final String OUT = "{\"out\":true}";

    @TempDir
    private Path folder;
    private final FleetThreads threads = new FleetThreads(2, 3);
    private final Map<String, Fleet> open = new LinkedHashMap<>();
    private final Map<String, Known> known = new LinkedHashMap<>();
    private final List<AutoCloseable> others = new ArrayList<>();

    /** What one member's listener knows by now, and who waits for it to know something. */
    private static final class Known implements FleetListener {
        private record Waiting(Predicate<Known> of, CompletableFuture<Known> done) { }

        private final Map<Order.Key, EffectiveOrder> standing = new LinkedHashMap<>();
        private final List<Waiting> waiting = new ArrayList<>();
        private final List<String> payloads = new ArrayList<>();
        private boolean level;
        private Map<String, Integer> lives = Map.of();

        private synchronized void now(Runnable change) {
            change.run();
            waiting.stream().filter(one -> one.of.test(this)).forEach(one -> one.done.complete(this));
        }

        private void await(Predicate<Known> what) throws Exception {
            var one = new Waiting(what, new CompletableFuture<>());
            synchronized (this) {
                if (what.test(this)) {
                    return;
                }
                waiting.add(one);
            }
            one.done.get(FAILED_S, TimeUnit.SECONDS);
        }

        private boolean effectiveOrderChanged(String payload) {
            EffectiveOrder acting = standing.get(KEY);
            return acting != null && payload.equals(acting.payload());
        }

        @Override
        public void member(Member member) { }

        @Override
        public void entryReceived(Entry entry) { }

        @Override
        public void stale(Entry.Key key) { }

        @Override
        public void effectiveOrderChanged(Order.Key key, EffectiveOrder acting) {
            now(() -> {
                standing.put(key, acting);
                payloads.add(acting.payload());
            });
        }

        @Override
        public void caughtUpChanged(boolean now) {
            now(() -> level = now);
        }

        @Override
        public void lives(Map<String, Integer> byRegion) {
            now(() -> lives = byRegion);
        }
    }

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable other : others) {
            other.close();
        }
        open.values().forEach(Fleet::close);
        threads.close();
    }

    private FleetFile file(String name, Address at, boolean onDisk) {
        List<Address> seeds = open.values().stream().map(Fleet::address).limit(3).toList();
        return new FleetFile("gent", name, at, null, List.of(), VOTERS, name.endsWith("1") ? "north" : "south", seeds, SECRET,
                onDisk && VOTERS.contains(name) ? folder.resolve(name) : null, SHARDS, Map.of());
    }

    private Fleet open(String name, Address at, boolean onDisk) throws FleetException {
        Fleet fleet = Fleet.open(file(name, at, onDisk), threads);
        open.put(name, fleet);
        known.put(name, new Known());
        fleet.listen(Runnable::run, known.get(name));
        return fleet;
    }

    private void openAll(boolean onDisk) throws Exception {
        for (String name : VOTERS) {
            open(name, Loopback.ANY, onDisk);
        }
        for (String name : OBSERVERS) {
            open(name, Loopback.ANY, onDisk);
        }
        awaitAll(k -> k.level);
    }

    private void awaitAll(Predicate<Known> what) throws Exception {
        for (String name : open.keySet()) {
            known.get(name).await(what);
        }
    }

    /** A voter whose disk takes nothing more once it is told so: what it decides or hears of stays where it is. */
    private Fleet openWithDisk(String name, AtomicBoolean full) throws FleetException {
        Fleet fleet = Fleet.open(file(name, Loopback.ANY, true), MemberSettings.defaults(), ShardSettings.defaults(),
                new Directory.Settings(1 << 20, 1), (path, end) -> new LogFile(path, end) {
                    @Override
                    void write(byte[] record) throws IOException {
                        if (full.get()) {
                            throw new IOException("No space left on device");
                        }
                        super.write(record);
                    }
                });
        open.put(name, fleet);
        known.put(name, new Known());
        fleet.listen(Runnable::run, known.get(name));
        return fleet;
    }

    @Test
    void aVoterThatEndsBetweenAnOrderAndItsPushKeepsNobodyFromIt() throws Exception {
        var full = new AtomicBoolean();
        open("v1", Loopback.ANY, true);
        Fleet ends = openWithDisk("v2", full);
        open("v3", Loopback.ANY, true);
        for (String name : OBSERVERS) {
            open(name, Loopback.ANY, false);
        }
        awaitAll(k -> k.level);
        full.set(true);
        assertThat(ordered(open.get("v1"), "a", "", OUT).id()).isEqualTo("a");
        // It has the order and, as that is not on its disk, has pushed it to nobody.
        known.get("v2").await(k -> !k.level);
        assertThat(ends.counters()).containsEntry("feed_slots", 0L);
        open.remove("v2").close();
        awaitAll(k -> k.effectiveOrderChanged(OUT));
        known.remove("v2");
        known.values().forEach(k -> assertThat(k.payloads).containsExactly(OUT));
        asked(() -> open.get("o1").held(KEY, "a"), found -> found.held() == 8 && found.of() == 8 && found.silent().equals(List.of("v2")));
    }

    private static Order ordered(Fleet fleet, String id, String replaces, String payload) throws Exception {
        return fleet.order(KEY, id, replaces, payload).toCompletableFuture().get(FAILED_S, TimeUnit.SECONDS);
    }

    /** Asks until the answer is as it is to be; what it rests on comes to the voters by messages of its own. */
    private static <T> T asked(Supplier<CompletionStage<T>> question, Predicate<T> wanted)
            throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(FAILED_S);
        T answer;
        do {
            answer = question.get().toCompletableFuture().get(FAILED_S, TimeUnit.SECONDS);
        } while (!wanted.test(answer) && System.nanoTime() < until);
        assertThat(answer).matches(wanted);
        return answer;
    }

    @Test
    void anOrderOverAnObserverIsInForceAtAllAndCountedAsHeld() throws Exception {
        openAll(false);
        Order order = ordered(open.get("o4"), "a", "", OUT);
        assertThat(VOTERS).contains(order.issuer().name());
        awaitAll(k -> k.effectiveOrderChanged(OUT));
        for (String asker : List.of("o2", "v1")) {
            Coverage all = asked(() -> open.get(asker).held(KEY, "a"), found -> found.held() == 9);
            assertThat(all).isEqualTo(new Coverage(9, 9, List.of(), List.of()));
        }
        Coverage none = open.get("o3").held(KEY, "never").toCompletableFuture().get(FAILED_S, TimeUnit.SECONDS);
        assertThat(none.held()).isZero();
        assertThat(none.of()).isEqualTo(9);
        assertThat(none.lacking()).containsAll(OBSERVERS).containsAll(VOTERS);
        assertThat(open.get("o5").orders().get(KEY).chosen()).isEqualTo(order);
        assertThat(open.get("o5").feeds()).hasSize(2).allMatch(VOTERS::contains);
        assertThat(open.get("v1").feeds()).isEmpty();
        assertThat(open.get("o5").controlAgeUs()).isLessThan(FleetHandle.NEVER_US);
        known.get("o1").await(k -> k.lives.equals(Map.of("north", 1, "south", 5)));
        assertThat(open.get("v2").lives()).isEqualTo(Map.of("north", 1, "south", 5));
        assertThatThrownBy(() -> ordered(open.get("o6"), "b", "nothing", OUT)).hasCauseInstanceOf(FleetException.FromVoter.class)
                .hasMessageContaining("Overtaken");
        for (Fleet fleet : open.values()) {
            assertThat(fleet.counters()).doesNotContainKeys("failures", "dropped_no_voter", "dropped_no_feed", "dropped_not_understood");
        }
    }

    @Test
    void theSameIdOverTwoObserversIsCarriedOutOnce() throws Exception {
        openAll(false);
        var first = open.get("o1").order(KEY, "a", "", OUT).toCompletableFuture();
        var second = open.get("o6").order(KEY, "a", "", OUT).toCompletableFuture();
        var third = open.get("v1").order(KEY, "a", "", OUT).toCompletableFuture();
        Order order = first.get(FAILED_S, TimeUnit.SECONDS);
        assertThat(second.get(FAILED_S, TimeUnit.SECONDS).id()).isEqualTo("a");
        assertThat(third.handle((given, why) -> why == null || why instanceof FleetException.Busy)
                .get(FAILED_S, TimeUnit.SECONDS)).isTrue();
        awaitAll(k -> k.effectiveOrderChanged(OUT));
        for (Fleet fleet : open.values()) {
            assertThat(fleet.orders().get(KEY).chosen().id()).isEqualTo("a");
            assertThat(fleet.orders().get(KEY).chosen().version()).isEqualTo(order.version());
            assertThat(fleet.orders().get(KEY).rivals()).isEmpty();
        }
        known.values().forEach(k -> assertThat(k.payloads).containsExactly(OUT));
    }

    @Test
    void entriesOfAllMembersAreFoundByAskingTheVoters() throws Exception {
        openAll(false);
        open.get("o1").writeEntry("proxy", "o1", "{\"a\":1}");
        open.get("v2").writeEntry("proxy", "v2", "{\"b\":2}");
        for (String asker : List.of("o6", "v1")) {
            TopicEntries heard = asked(() -> open.get(asker).entries("proxy"),
                    found -> found.entries().size() == 2 && found.silent().isEmpty());
            assertThat(heard.entries().stream().collect(Collectors.toMap(entry -> entry.key().writer(), Entry::payload)))
                    .isEqualTo(Map.of("o1", "{\"a\":1}", "v2", "{\"b\":2}"));
            assertThat(heard.entries()).allMatch(entry -> entry.ageUs() >= 0 && entry.ageUs() < FAILED_S * 1_000_000L);
        }
        open.get("v3").close();
        TopicEntries without = open.get("o6").entries("proxy").toCompletableFuture().get(FAILED_S, TimeUnit.SECONDS);
        assertThat(without.silent()).containsExactly("v3");
        assertThat(without.entries()).hasSize(2);
    }

    @Tag("known-red")
    @Test
    void aFeedThatEndsWithAnOrderUnderWayKeepsNobodyFromIt() throws Exception {
        openAll(true);
        String feed = open.get("o2").feeds().get(0);
        CompletableFuture<Order> answer = open.get("o2").order(KEY, "a", "", OUT).toCompletableFuture();
        open.remove(feed).close();
        // What the one that ended has decided, or another: the caller gets the one answer, and all hold the order. If it ended between the
        // promises and the decision, these outlast the call: then the answer is 'Uncertain', and the same order is sent again as that says.
        assertThat(sentAgainWhileUncertain(answer).id()).isEqualTo("a");
        awaitAll(k -> k.effectiveOrderChanged(OUT));
        known.remove(feed);
        known.values().forEach(k -> assertThat(k.payloads).containsExactly(OUT));
        known.get("o2").await(k -> open.get("o2").feeds().size() == 2 && !open.get("o2").feeds().contains(feed));
    }

    private Order sentAgainWhileUncertain(CompletableFuture<Order> first) throws Exception {
        CompletableFuture<Order> answer = first;
        for (int times = 0; times < 5; times++) {
            try {
                return answer.get(FAILED_S, TimeUnit.SECONDS);
            } catch (ExecutionException e) {
                assertThat(e).hasCauseInstanceOf(FleetException.Uncertain.class);
                answer = open.get("o2").order(KEY, "a", "", OUT).toCompletableFuture();
            }
        }
        return answer.get(FAILED_S, TimeUnit.SECONDS);
    }

    private void allVotersEndAndComeBack(boolean onDisk) throws Exception {
        openAll(onDisk);
        ordered(open.get("o1"), "a", "", OUT);
        awaitAll(k -> k.effectiveOrderChanged(OUT));
        var addresses = new LinkedHashMap<String, Address>();
        VOTERS.forEach(name -> addresses.put(name, open.get(name).address()));
        VOTERS.forEach(name -> open.remove(name).close());
        for (String name : OBSERVERS) {
            known.get(name).await(k -> !k.level);
            assertThat(open.get(name).isCaughtUp()).isFalse();
            assertThat(open.get(name).orders().get(KEY).payload()).isEqualTo(OUT);
            assertThat(open.get(name).controlAgeUs()).isBetween(1L, FleetHandle.NEVER_US - 1);
        }
        assertThatThrownBy(() -> ordered(open.get("o1"), "b", null, null)).hasCauseInstanceOf(FleetException.class);
        for (String name : VOTERS) {
            open(name, addresses.get(name), onDisk);
        }
        awaitAll(k -> k.level && k.effectiveOrderChanged(OUT));
        for (String name : OBSERVERS) {
            assertThat(known.get(name).payloads).as(name).containsExactly(OUT);
        }
        for (Fleet fleet : open.values()) {
            assertThat(fleet.orders().get(KEY).chosen().id()).as(fleet.name()).isEqualTo("a");
        }
        assertThat(ordered(open.get("o3"), "c", "a", "{\"out\":false}").replaces()).containsExactly("a");
        awaitAll(k -> k.effectiveOrderChanged("{\"out\":false}"));
    }

    @Test
    void observersKeepWhatStandsWhileAllVotersAreGoneAndTheyComeBackFromDisk() throws Exception {
        allVotersEndAndComeBack(true);
    }

    @Test
    void votersThatLostAllGetItBackFromObservers() throws Exception {
        allVotersEndAndComeBack(false);
    }

    /** A member of the test's, that says what it likes under the fleet's secret. */
    private final class Forger {
        private final Life life;
        private final LinkedBlockingQueue<Envelope> heard = new LinkedBlockingQueue<>();
        private final Codec codec = new Codec("gent", SHARDS, SECRET, new Counters());
        private final Transport transport;
        private long seq;

        private Forger(String name, long incarnation) throws FleetException {
            life = new Life(name, incarnation);
            transport = new Transport(threads.loop(), Loopback.ANY, bytes -> heard.add(codec.decode(bytes)), new Counters());
            others.add(transport);
        }

        private void say(Fleet to, ShardMessage message) {
            transport.send(to.address(), codec.encode(Envelope.of(message, 0, "gent", life, transport.bound(), SHARDS)), false);
        }

        private void say(Fleet to, ObserveMessage message) {
            transport.send(to.address(), codec.encode(Envelope.of(message, "gent", life, transport.bound(), SHARDS)), false);
        }

        private Envelope await(Predicate<Envelope> what) throws InterruptedException {
            Envelope one;
            do {
                one = heard.poll(FAILED_S, TimeUnit.SECONDS);
                assertThat(one).isNotNull();
            } while (!what.test(one));
            return one;
        }

        /** Returns once the member has read all that came before: it answers pings in the order in which it reads. */
        private void ping(Fleet to) throws InterruptedException {
            long number = ++seq;
            var ping = new MemberMessage.Ping(number, to.name(), life, transport.bound(), List.of());
            transport.send(to.address(), codec.encode(Envelope.of(ping, "gent", life, transport.bound(), SHARDS)), false);
            await(one -> one.member() instanceof MemberMessage.Ack ack && ack.seq() == number);
        }
    }

    @Test
    void aVoteOfAnObserverIsDroppedAndCounted() throws Exception {
        // One voter of three: with a vote from outside it would have a majority.
        Fleet voter = open("v1", Loopback.ANY, false);
        var forger = new Forger("o9", 5);
        forger.ping(voter);
        var order = new Order(KEY, "forged", 1, List.of(), OUT, null, forger.life);
        List<ShardMessage> votes = List.of(new ShardMessage.Promised(1, "a"), new ShardMessage.Committed(1, "a"),
                new ShardMessage.CompareRoots(1, 0, 0, null), new ShardMessage.NodeHashes(1, 0, new long[0], new long[0]),
                new ShardMessage.Commit(1, "forged", new Slot(KEY, List.of(order), Map.of(), 0)));
        votes.forEach(vote -> forger.say(voter, vote));
        forger.ping(voter);
        assertThat(voter.counters()).containsEntry("dropped_no_voter", (long) votes.size());
        assertThat(voter.orders()).isEmpty();
        assertThat(voter.isCaughtUp()).isFalse();
    }

    @Test
    void whatIsSaidToTheWrongMemberOrByTheWrongOneIsDroppedAndCounted() throws Exception {
        Fleet voter = open("v1", Loopback.ANY, false);
        Fleet observer = open("o1", Loopback.ANY, false);
        Fleet all = Fleet.open(new FleetFile("gent", "n1", Loopback.ANY, null, List.of("n1"), List.of(), SECRET, null, SHARDS, Map.of()),
                threads);
        others.add(all);
        var stranger = new Forger("o9", 5);
        var second = new Forger("v2", 5);
        stranger.ping(voter);
        stranger.ping(observer);
        stranger.ping(all);
        second.ping(voter);
        stranger.say(all, new ObserveMessage.Unsubscribe());
        stranger.say(observer, new ShardMessage.Promised(1, "a"));
        stranger.say(observer, new ObserveMessage.Push(1, 0, List.of(new Slot(KEY,
                List.of(new Order(KEY, "forged", 1, List.of(), OUT, null, stranger.life)), Map.of(), 0))));
        stranger.say(voter, new ObserveMessage.ObserverCounts("north", Map.of("north", 1_000)));
        second.say(voter, new ObserveMessage.Subscribe(1, "north", true));
        stranger.say(all, new ObserveMessage.PushAck(7));
        var former = new Forger("o9", 4);
        former.say(voter, new ObserveMessage.Subscribe(1, "north", true));
        stranger.ping(all);
        stranger.ping(observer);
        stranger.ping(voter);
        second.ping(voter);
        assertThat(all.counters()).containsEntry("dropped_no_feed", 2L);
        assertThat(observer.counters()).containsEntry("dropped_no_shards", 1L);
        // Lanes work what the loop has read; they are asked until they have.
        counted(observer, "dropped_no_voter");
        counted(voter, "dropped_no_voter");
        counted(voter, "dropped_voter_as_observer");
        counted(voter, "dropped_former_life");
        assertThat(observer.orders()).isEmpty();
        assertThat(voter.counters()).containsEntry("observers", 0L);
    }

    private static void counted(Fleet fleet, String name) {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(FAILED_S);
        while (!fleet.counters().containsKey(name) && System.nanoTime() < until) {
            Thread.onSpinWait();
        }
        assertThat(fleet.counters()).containsEntry(name, 1L);
    }

    @Test
    void membersThatShareThreadsGiveBackWhatIsTheirsAlone() throws Exception {
        Path descriptors = Path.of("/proc/self/fd");
        Fleet stays = open("v1", Loopback.ANY, false);
        Set<String> before = sockets(descriptors);
        // Without anyone to talk to, so that no connection is among them.
        Fleet quiet = Fleet.open(new FleetFile("gent", "o1", Loopback.ANY, null, List.of(), VOTERS, "", List.of(), SECRET, null, SHARDS,
                Map.of()), threads);
        others.add(quiet);
        Set<String> with = sockets(descriptors);
        with.removeAll(before);
        assertThat(with).as("an observer's own, quiet").hasSizeLessThanOrEqualTo(2);
        quiet.close();
        assertThat(sockets(descriptors)).doesNotContainAnyElementsOf(with);
        Fleet goes = open("v2", Loopback.ANY, true);
        open.remove("v2").close();
        assertThat(Thread.getAllStackTraces().keySet()).noneMatch(thread -> thread.getName().equals("fleet-directory"));
        // The address and the directory are free again, and the threads still serve the others.
        open("v2", goes.address(), true);
        open("v3", Loopback.ANY, false);
        known.get("v1").await(k -> k.level);
        assertThat(ordered(stays, "a", "", OUT).id()).isEqualTo("a");
        assertThatThrownBy(() -> ordered(quiet, "b", null, OUT)).hasCauseInstanceOf(FleetException.NotLevel.class);
        assertThatThrownBy(() -> Fleet.open(file("o2", stays.address(), false), threads)).isInstanceOf(FleetException.AddressTaken.class);
    }

    private static Set<String> sockets(Path descriptors) throws IOException {
        var found = new HashSet<String>();
        if (!Files.isDirectory(descriptors)) {
            return found;
        }
        try (var all = Files.list(descriptors)) {
            for (Path one : all.toList()) {
                try {
                    String target = Files.readSymbolicLink(one).toString();
                    if (target.startsWith("socket:")) {
                        found.add(target);
                    }
                } catch (IOException e) {
                    // It has gone since it was listed.
                }
            }
        }
        return found;
    }

    @Test
    void whereAllMembersVoteNobodyCountsWhoHoldsAnOrder() throws Exception {
        Fleet alone = Fleet.open(new FleetFile("gent", "n1", Loopback.ANY, null, List.of("n1"), List.of(), SECRET, null, SHARDS, Map.of()),
                MemberSettings.defaults(), ShardSettings.defaults(), Directory.Settings.USUAL, LogFile::new);
        others.add(alone);
        assertThatThrownBy(() -> alone.held(KEY, "a").toCompletableFuture().get(FAILED_S, TimeUnit.SECONDS))
                .hasCauseInstanceOf(BadCall.class);
        assertThat(alone.lives()).isEmpty();
        assertThat(alone.feeds()).isEmpty();
        assertThat(alone.voters()).isEmpty();
        var heard = new Known();
        alone.listen(Runnable::run, heard);
        heard.await(k -> k.level);
        assertThat(alone.controlAgeUs()).isZero();
        // Two of three are missing, so that it never becomes level.
        Fleet never = Fleet.open(new FleetFile("gent", "n1", Loopback.ANY, null, List.of("n1", "n2", "n3"), List.of(), SECRET, null, SHARDS,
                Map.of()), threads);
        others.add(never);
        assertThat(never.controlAgeUs()).isEqualTo(FleetHandle.NEVER_US);
    }
}

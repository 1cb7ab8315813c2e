package walkpost.fleet.shell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import walkpost.fleet.FleetException;
import walkpost.fleet.FleetException.AddressTaken;
import walkpost.fleet.FleetException.BadCall;
import walkpost.fleet.FleetException.BadDirectory;
import walkpost.fleet.FleetException.NotLevel;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.ShardMessage.FetchRequest;
import walkpost.fleet.copy.ShardSettings;
import walkpost.fleet.member.Address;
import walkpost.fleet.member.Life;
import walkpost.fleet.member.Member;
import walkpost.fleet.member.MemberMessage;
import walkpost.fleet.member.MemberSettings;
import walkpost.fleet.member.Standing;

/** Whole members in one process, over loopback. Each wait ends with an event; its bound only ends a failed test. */
final class FleetTest {
    private static final int FAILED_S = 60;
    private static final Order.Key KEY = new Order.Key("exclusion", "tile-1");
    private static final Secret SECRET = new Secret(new byte[32]);

    @TempDir
    private Path folder;
    private final List<Fleet> open = new ArrayList<>();
    private final List<ExecutorService> executors = new ArrayList<>();

    /** What one listener hears, kept, with those who wait for something to be among it. */
    private static final class Heard implements FleetListener {
        private record Waiting(Predicate<Object> of, CompletableFuture<Object> done) { }

        private record Stands(Order.Key key, EffectiveOrder order) { }

        private final List<Object> events = new ArrayList<>();
        private final List<Waiting> waiting = new ArrayList<>();

        private synchronized void add(Object event) {
            events.add(event);
            waiting.stream().filter(one -> one.of.test(event)).forEach(one -> one.done.complete(event));
        }

        private Object await(Predicate<Object> event) throws Exception {
            var one = new Waiting(event, new CompletableFuture<>());
            synchronized (this) {
                events.stream().filter(event).findFirst().ifPresent(one.done::complete);
                waiting.add(one);
            }
            return one.done.get(FAILED_S, TimeUnit.SECONDS);
        }

        private synchronized void forget() {
            events.clear();
        }

        @Override
        public void member(Member member) {
            add(member);
        }

        @Override
        public void entryReceived(Entry entry) {
            add(entry);
        }

        @Override
        public void stale(Entry.Key key) {
            add(key);
        }

        @Override
        public void effectiveOrderChanged(Order.Key key, EffectiveOrder acting) {
            add(new Stands(key, acting));
        }

        @Override
        public void caughtUpChanged(boolean level) {
            add(level);
        }
    }

    private FleetFile file(String name, List<String> members, List<Address> seeds, boolean onDisk) {
        return new FleetFile("gent", name, Loopback.ANY, null, members, seeds, SECRET,
                onDisk ? folder.resolve(name) : null, 4, Map.of("load", 400_000L));
    }

    private Fleet open(FleetFile file, OrderLog.Opener opener) throws FleetException {
        Fleet fleet = Fleet.open(file, MemberSettings.defaults(), ShardSettings.defaults(), new Directory.Settings(1 << 20, 1), opener);
        open.add(fleet);
        return fleet;
    }

    private Heard listen(Fleet fleet) {
        var heard = new Heard();
        executors.add(Executors.newSingleThreadExecutor());
        fleet.listen(executors.get(executors.size() - 1), heard);
        return heard;
    }

    @AfterEach
    void close() {
        open.forEach(Fleet::close);
        executors.forEach(ExecutorService::shutdown);
    }

    private static Order ordered(Fleet fleet, String id, String replaces, String payload) throws Exception {
        return fleet.order(KEY, id, replaces, payload).toCompletableFuture().get(FAILED_S, TimeUnit.SECONDS);
    }

    private static Predicate<Object> stands(String payload) {
        return event -> event instanceof Heard.Stands stands && stands.key.equals(KEY) && payload.equals(stands.order.payload());
    }

    private static Predicate<Object> entry(String writer, String payload) {
        return event -> event instanceof Entry entry && entry.key().writer().equals(writer) && payload.equals(entry.payload());
    }

    private static Predicate<Object> member(String name, Standing standing) {
        return event -> event instanceof Member member && member.life().name().equals(name) && member.standing() == standing;
    }

    @Test
    void threeMembersReceiveEachOthersEntriesAndAgreeOnOrders() throws Exception {
        var names = List.of("n1", "n2", "n3");
        var fleets = new ArrayList<Fleet>();
        var heard = new ArrayList<Heard>();
        for (String name : names) {
            fleets.add(open(file(name, names, fleets.isEmpty() ? List.of() : List.of(fleets.get(0).address()), true), LogFile::new));
            heard.add(listen(fleets.get(fleets.size() - 1)));
        }
        for (Heard one : heard) {
            one.await(event -> event.equals(true));
        }
        assertThat(fleets).allMatch(Fleet::isCaughtUp);

        fleets.get(1).writeEntry("load", "n2", "{\"busy\":0.5}");
        heard.get(0).await(entry("n2", "{\"busy\":0.5}"));
        heard.get(2).await(entry("n2", "{\"busy\":0.5}"));
        assertThat(fleets.get(2).entries("load").toCompletableFuture().join().entries()).extracting(Entry::payload)
                .containsExactly("{\"busy\":0.5}");
        heard.get(2).await(event -> event.equals(new Entry.Key("load", "n2", "n2")));

        Order order = ordered(fleets.get(2), "o1", "", "{\"out\":true}");
        assertThat(order.issuer().name()).isEqualTo("n3");
        for (Heard one : heard) {
            one.await(stands("{\"out\":true}"));
        }
        assertThat(ordered(fleets.get(0), "o2", "o1", "{\"out\":false}").version()).isEqualTo(order.version() + 1);
        assertThatThrownBy(() -> ordered(fleets.get(0), "o3", "o1", null)).isInstanceOf(ExecutionException.class)
                .hasCauseInstanceOf(FleetException.Overtaken.class);

        Heard late = listen(fleets.get(1));
        late.await(stands("{\"out\":false}"));
        for (String name : names) {
            late.await(member(name, Standing.ALIVE));
        }
        late.await(event -> event.equals(true));

        fleets.get(2).close();
        heard.get(0).await(member("n3", Standing.LEFT));
        assertThat(fleets.get(0).counters()).containsKeys("messages_in", "bytes_out", "pings");
        assertThat(fleets.get(0).counters()).doesNotContainKeys("failures", "dropped_not_understood", "dropped_not_authentic");
    }

    @Test
    void ordersOutliveAProcessThatHasADirectory() throws Exception {
        FleetFile file = file("n1", List.of("n1"), List.of(), true);
        Fleet first = open(file, LogFile::new);
        listen(first).await(event -> event.equals(true));
        ordered(first, "o1", "", "{\"out\":true}");
        first.close();
        Fleet second = open(file, LogFile::new);
        listen(second).await(stands("{\"out\":true}"));
        assertThat(second.orders().get(KEY).chosen().id()).isEqualTo("o1");
    }

    @Test
    void aMemberWhoseDiskIsFullIsNotLevelAndRefusesOrdersUntilItHasRoom() throws Exception {
        var full = new AtomicBoolean();
        Fleet fleet = open(file("n1", List.of("n1"), List.of(), true), (path, end) -> new LogFile(path, end) {
            @Override
            void write(byte[] record) throws IOException {
                if (full.get()) {
                    throw new IOException("No space left on device");
                }
                super.write(record);
            }
        });
        Heard heard = listen(fleet);
        heard.await(event -> event.equals(true));
        heard.forget();
        full.set(true);
        CompletableFuture<Order> first = fleet.order(KEY, "o1", "", "{\"out\":true}").toCompletableFuture();
        heard.await(event -> event.equals(false));
        assertThat(fleet.isCaughtUp()).isFalse();
        assertThat(first).isNotDone();
        assertThatThrownBy(() -> ordered(fleet, "o2", "", null)).hasCauseInstanceOf(BadDirectory.class)
                .hasMessageContaining("No space left on device");
        heard.forget();
        full.set(false);
        heard.await(event -> event.equals(true));
        heard.await(stands("{\"out\":true}"));
        assertThat(OrderLog.read(folder.resolve("n1")).slots()).hasSize(1);
    }

    @Test
    void callsThatMakeNoSenseOrComeTooSoonOrTooLateAreAnswered() throws Exception {
        Fleet alone = open(file("n1", List.of("n1", "n2", "n3"), List.of(), false), LogFile::new);
        assertThatThrownBy(() -> alone.order(KEY, null, "", null).toCompletableFuture().get(FAILED_S, TimeUnit.SECONDS))
                .hasCauseInstanceOf(BadCall.class);
        assertThatThrownBy(() -> ordered(alone, "o1", "", "{}")).hasCauseInstanceOf(NotLevel.class);
        assertThat(alone.isCaughtUp()).isFalse();
        alone.close();
        assertThatThrownBy(() -> ordered(alone, "o2", "", "{}")).hasCauseInstanceOf(NotLevel.class);
    }

    @Test
    void whatOthersSendInAWrongNameLifeOrSecretIsDropped() throws Exception {
        Fleet fleet = open(file("n1", List.of("n1", "n2"), List.of(), false), LogFile::new);
        var answers = new LinkedBlockingQueue<byte[]>();
        try (FleetThreads threads = new FleetThreads(1, 1);
                Transport n2 = new Transport(threads.loop(), Loopback.ANY, answers::add, new Counters())) {
            var codec = new Codec("gent", 4, SECRET, new Counters());
            var other = new Secret("quite another".repeat(2).getBytes(StandardCharsets.UTF_8));
            var life = new Life("n2", 5);
            var word = new FetchRequest(List.of(), List.of());
            for (int seq = 1; seq <= 2; seq++) {
                var question = new MemberMessage.Ping(seq, "n1", life, n2.bound(), List.of());
                byte[] ping = codec.encode(Envelope.of(question, "gent", life, n2.bound(), 4));
                n2.send(fleet.address(), ping, false);
                Envelope answer;
                do {
                    answer = codec.decode(answers.poll(FAILED_S, TimeUnit.SECONDS));
                } while (!(answer.member() instanceof MemberMessage.Ack ack && ack.seq() == seq));
                if (seq == 1) {
                    n2.send(fleet.address(), codec.encode(Envelope.of(word, 0, "gent", new Life("n2", 4), n2.bound(), 4)), false);
                    n2.send(fleet.address(), codec.encode(Envelope.of(word, 0, "gent", new Life("n1", 9), n2.bound(), 4)), false);
                    n2.send(fleet.address(), new Codec("gent", 4, other, new Counters()).encode(codec.decode(ping)), false);
                }
            }
            assertThat(fleet.counters()).containsEntry("dropped_former_life", 1L).containsEntry("dropped_own_name", 1L)
                    .containsEntry("dropped_not_authentic", 1L);
        }
    }

    @Test
    void closedOrNotOpenedItHoldsNothing() throws Exception {
        FleetFile file = file("n1", List.of("n1"), List.of(), true);
        Fleet fleet = open(file, LogFile::new);
        var taken = new FleetFile("gent", "n2", fleet.address(), null, List.of("n2"), List.of(), SECRET, folder.resolve("n2"), 4, Map.of());
        assertThatThrownBy(() -> open(taken, LogFile::new)).isInstanceOf(AddressTaken.class);
        new Directory(folder.resolve("n2"), "gent", "n2", Directory.Settings.USUAL, LogFile::new, trouble -> { }).close();
        listen(fleet).await(event -> event.equals(true));
        fleet.close();
        for (Thread thread : Thread.getAllStackTraces().keySet()) {
            if (thread.getName().startsWith("fleet-")) {
                thread.join(TimeUnit.SECONDS.toMillis(FAILED_S));
                assertThat(thread.isAlive()).as(thread.getName()).isFalse();
            }
        }
        assertThat(open(new FleetFile("gent", "n1", fleet.address(), null, List.of("n1"), List.of(), SECRET, file.directory(), 4, Map.of()),
                LogFile::new).address()).isEqualTo(fleet.address());
    }

    @Test
    void aFileAndItsSecretAreAllThatAProcessNeeds() throws Exception {
        Files.write(folder.resolve("fleet.key"), new byte[16]);
        Path file = Files.writeString(folder.resolve("fleet.toml"), """
                format = 1
                cluster = "gent"
                bind = "127.0.0.1:0"
                members = ["n1"]
                secret = "fleet.key"
                """);
        Fleet fleet = Fleet.open(file, Map.of("PROXY_NAME", "n1"));
        open.add(fleet);
        assertThat(fleet.name()).isEqualTo("n1");
        listen(fleet).await(event -> event.equals(true));
        assertThat(fleet.members()).extracting(member -> member.life().name()).containsExactly("n1");
    }
}

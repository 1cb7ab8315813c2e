package walkpost.fleet.shell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import walkpost.fleet.FleetException.BadDirectory;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.member.Life;

/** Orders on disk: what was reported kept is there again, wherever a write was cut short, and no other's directory is taken. */
final class DirectoryTest {
    private static final int FAILED_S = 30;
    private static final Directory.Settings USUAL = new Directory.Settings(1 << 20, 1);

    @TempDir
    private Path folder;

    private static Directory open(Path folder) throws BadDirectory {
        return open(folder, USUAL, LogFile::new, trouble -> { });
    }

    private static Directory open(Path folder, Directory.Settings settings, OrderLog.Opener opener, Consumer<BadDirectory> trouble)
            throws BadDirectory {
        return new Directory(folder, "gent", "n1", settings, opener, trouble);
    }

    private static Slot slot(String subject, int version) {
        var key = new Order.Key("exclusion", subject);
        var order = new Order(key, subject + "-" + version, version, List.of(), "{}", null, new Life("n1", 1));
        return new Slot(key, List.of(order), Map.of(), version - 1);
    }

    private static void keep(Directory directory, Slot... slots) throws Exception {
        directory.persist(List.of(slots)).get(FAILED_S, TimeUnit.SECONDS);
    }

    private static Map<String, Slot> bySubject(List<Slot> slots) {
        var map = new TreeMap<String, Slot>();
        slots.forEach(slot -> map.put(slot.key().subject(), slot));
        return map;
    }

    private static Path withLog(Path folder, byte[] log) throws IOException {
        Files.createDirectories(folder);
        Files.write(folder.resolve(OrderLog.LOG), log);
        return folder;
    }

    @Test
    void aLogThatCannotBeReadForAMomentIsNotTakenForNone() throws Exception {
        try (Directory directory = open(folder)) {
            keep(directory, slot("a", 1));
        }
        Path log = folder.resolve(OrderLog.LOG);
        Path aside = Files.move(log, folder.resolve("aside"));
        // A link to itself ends in ELOOP, and not in that there is none.
        Files.createSymbolicLink(log, log);
        assertThatThrownBy(() -> open(folder)).isInstanceOf(BadDirectory.class);
        Files.move(aside, log, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        try (Directory directory = open(folder)) {
            assertThat(bySubject(directory.restored())).containsOnlyKeys("a");
        }
    }

    /** Returns a file that does not wait for the disk: what a killed process has written is there, and a test of it is quick. */
    private static LogFile unforced(Path file, long end) throws IOException {
        return new LogFile(file, end) {
            @Override
            void force() { }
        };
    }

    /** Returns a log of four writes, and tells what stood after each, by the length that the log had then. */
    private byte[] written(Map<Long, Map<String, Slot>> stood) throws Exception {
        Path log = folder.resolve("written").resolve(OrderLog.LOG);
        try (Directory directory = open(log.getParent())) {
            for (Slot[] slots : List.of(new Slot[] {slot("a", 1)}, new Slot[] {slot("b", 1), slot("c", 1)}, new Slot[] {slot("a", 2)},
                    new Slot[] {Slot.empty(slot("b", 1).key())})) {
                keep(directory, slots);
                stood.put(Files.size(log), bySubject(OrderLog.read(log.getParent()).slots()));
            }
        }
        byte[] bytes = Files.readAllBytes(log);
        assertThat(stood.keySet()).hasSize(4).contains((long) bytes.length);
        return bytes;
    }

    @Test
    void cutAnywhereItOpensAgainWithAllThatWasReportedKept() throws Exception {
        var stood = new LinkedHashMap<Long, Map<String, Slot>>();
        byte[] log = written(stood);
        for (int cut = 0; cut <= log.length; cut++) {
            Path copy = withLog(folder.resolve("cut" + cut), Arrays.copyOf(log, cut));
            Map<String, Slot> expected = Map.of();
            for (Map.Entry<Long, Map<String, Slot>> after : stood.entrySet()) {
                if (after.getKey() <= cut) {
                    expected = after.getValue();
                }
            }
            try (Directory directory = open(copy, USUAL, DirectoryTest::unforced, trouble -> { })) {
                var restored = bySubject(directory.restored());
                assertThat(restored).as("cut at %d", cut).isEqualTo(expected);
                if (cut % 16 == 0) {
                    keep(directory, slot("d", 1));
                    assertThat(bySubject(OrderLog.read(copy).slots())).containsKey("d").containsAllEntriesOf(restored);
                }
            }
        }
    }

    /** A file of a process that is killed when it has done so many writes and waits for the disk. */
    private static final class Killed extends LogFile {
        private final AtomicInteger left;

        Killed(Path file, long end, AtomicInteger left) throws IOException {
            super(file, end);
            this.left = left;
        }

        private void step() throws IOException {
            if (left.getAndDecrement() <= 0) {
                throw new IOException("killed");
            }
        }

        @Override
        void write(byte[] record) throws IOException {
            step();
            super.write(record);
        }

        @Override
        void force() throws IOException {
            step();
        }
    }

    @Test
    void killedBetweenAnyTwoStepsItOpensAgainWithAllThatWasReportedKept() throws Exception {
        var often = new Directory.Settings(300, 1);
        boolean killed = true;
        for (int steps = 0; killed; steps++) {
            Path copy = folder.resolve("steps" + steps);
            open(copy).close();
            var left = new AtomicInteger(steps);
            var kept = new LinkedHashMap<String, Slot>();
            killed = false;
            var refused = new CompletableFuture<Void>();
            Directory directory = open(copy, often, (file, end) -> new Killed(file, end, left), trouble -> refused.complete(null));
            for (int i = 0; i < 12 && !killed; i++) {
                Slot slot = slot("s" + i % 4, i + 1);
                CompletableFuture.anyOf(directory.persist(List.of(slot)), refused).get(FAILED_S, TimeUnit.SECONDS);
                killed = refused.isDone();
                if (!killed) {
                    kept.put(slot.key().subject(), slot);
                }
            }
            directory.close();
            try (Directory again = open(copy)) {
                var restored = bySubject(again.restored());
                kept.forEach((subject, slot) -> assertThat(restored.get(subject).floor()).isGreaterThanOrEqualTo(slot.floor()));
            }
        }
    }

    @Test
    void aLogThatHasGrownIsWrittenAnewWithWhatStands() throws Exception {
        try (Directory directory = open(folder, new Directory.Settings(2_000, 1), LogFile::new, trouble -> { })) {
            for (int i = 1; i <= 200; i++) {
                keep(directory, slot("s" + i % 3, i));
            }
            assertThat(Files.size(folder.resolve(OrderLog.LOG))).isLessThan(4_000);
        }
        assertThat(bySubject(OrderLog.read(folder).slots())).containsOnly(
                Map.entry("s0", slot("s0", 198)), Map.entry("s1", slot("s1", 199)), Map.entry("s2", slot("s2", 200)));
    }

    @Test
    void aFullDiskIsToldAndNothingIsReportedKeptUntilItTakesIt() throws Exception {
        var full = new AtomicBoolean();
        var refuses = new CompletableFuture<BadDirectory>();
        var works = new CompletableFuture<Void>();
        OrderLog.Opener disk = (file, end) -> new LogFile(file, end) {
            @Override
            void write(byte[] record) throws IOException {
                if (full.get()) {
                    throw new IOException("No space left on device");
                }
                super.write(record);
            }
        };
        try (Directory directory = open(folder, USUAL, disk, trouble -> {
            if (trouble == null) {
                works.complete(null);
            } else {
                refuses.complete(trouble);
            }
        })) {
            keep(directory, slot("a", 1));
            full.set(true);
            CompletableFuture<Void> waiting = directory.persist(List.of(slot("b", 1)));
            assertThat(refuses.get(FAILED_S, TimeUnit.SECONDS)).hasMessageContaining("No space left on device");
            assertThat(waiting).isNotDone();
            full.set(false);
            works.get(FAILED_S, TimeUnit.SECONDS);
            waiting.get(FAILED_S, TimeUnit.SECONDS);
            keep(directory, slot("c", 1));
        }
        assertThat(bySubject(OrderLog.read(folder).slots()).keySet()).containsExactly("a", "b", "c");
    }

    @Test
    void closedWhileTheDiskRefusesItSaysThatNothingWasKept() throws Exception {
        var refuses = new CompletableFuture<BadDirectory>();
        open(folder).close();
        Directory directory = open(folder, USUAL, (file, end) -> new Killed(file, end, new AtomicInteger()), refuses::complete);
        CompletableFuture<Void> waiting = directory.persist(List.of(slot("a", 1)));
        refuses.get(FAILED_S, TimeUnit.SECONDS);
        directory.close();
        assertThat(waiting).isCompletedExceptionally();
        assertThat(directory.persist(List.of(slot("a", 1)))).isCompletedExceptionally();
    }

    @Test
    void damageInTheMiddleIsNoTornTail() throws Exception {
        var stood = new LinkedHashMap<Long, Map<String, Slot>>();
        byte[] log = written(stood);
        int second = (int) (long) new ArrayList<>(stood.keySet()).get(0);
        for (int at : new int[] {second, second + 5, second + LogFile.HEAD + 3}) {
            byte[] rotten = log.clone();
            rotten[at] ^= 0x10;
            Path copy = withLog(folder.resolve("rotten" + at), rotten);
            assertThatThrownBy(() -> open(copy)).isInstanceOf(BadDirectory.class).hasMessageContaining("damaged at byte " + second);
            assertThat(Files.readAllBytes(copy.resolve(OrderLog.LOG))).isEqualTo(rotten);
        }
    }

    @Test
    void anothersDirectoryIsLeftAlone() throws Exception {
        open(folder).close();
        for (String[] other : new String[][] {{"gent", "n2"}, {"brugge", "n1"}}) {
            assertThatThrownBy(() -> new Directory(folder, other[0], other[1], USUAL, LogFile::new, trouble -> { }))
                    .isInstanceOf(BadDirectory.class).hasMessageContaining("kept by").hasMessageContaining("member=n1");
        }
        Path foreign = withLog(folder.resolve("foreign"), "a diary".getBytes(StandardCharsets.UTF_8));
        assertThatThrownBy(() -> open(foreign)).isInstanceOf(BadDirectory.class).hasMessageContaining("does not begin as");
        Path file = Files.createFile(folder.resolve("file"));
        assertThatThrownBy(() -> open(file)).isInstanceOf(BadDirectory.class).hasMessageContaining(file.toString());
    }

    @Test
    void twoCannotHaveOneDirectory() throws Exception {
        try (Directory first = open(folder)) {
            assertThatThrownBy(() -> open(folder)).isInstanceOf(BadDirectory.class).hasMessageContaining("in use");
            keep(first, slot("a", 1));
        }
        open(folder).close();
    }

    @Test
    void itKnowsHowLongAgoItsMemberWasLevel() throws Exception {
        try (Directory first = open(folder)) {
            assertThat(first.awayUs()).isZero();
            first.level(true);
        }
        Path lock = folder.resolve("lock");
        Files.setLastModifiedTime(lock, FileTime.fromMillis(Files.getLastModifiedTime(lock).toMillis() - 7_200_000));
        open(folder).close();
        try (Directory later = open(folder)) {
            assertThat(later.awayUs()).as("not level meanwhile").isGreaterThanOrEqualTo(7_200_000_000L);
            later.level(true);
        }
        try (Directory last = open(folder)) {
            assertThat(last.awayUs()).isLessThan(7_200_000_000L);
        }
    }
}

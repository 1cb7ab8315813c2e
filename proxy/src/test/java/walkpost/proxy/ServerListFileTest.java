package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import walkpost.Balancer.BackendState;
import walkpost.proxy.StoredServerList.WriterId;

/** Tests the file that a list is handed over in, who writes it, and whose list counts. */
class ServerListFileTest {
    private static final InetSocketAddress DISCOVERY = new InetSocketAddress("127.0.0.1", 8500);
    private static final WriterId EARLIER = new WriterId(1_000);
    private static final WriterId LATER = new WriterId(2_000);
    private static final long NOW_NS = 3_000;

    @TempDir
    private Path tempDir;

    private Path path() {
        return tempDir.resolve("servers");
    }

    private ServerListFile file(WriterId writer) {
        return new ServerListFile(path(), writer);
    }

    private static StoredServerList list(WriterId writer, long version, String... ids) {
        return new StoredServerList("n1", writer, DISCOVERY, version, 41, Arrays.stream(ids).map(ServerListFileTest::entry).toList(),
                Map.of("s-1", 900L, "s-9", 500L));
    }

    private static ServerListEntry entry(String id) {
        return new ServerListEntry(id, new InetSocketAddress("127.0.0.1", 9), BackendState.DRAINING, "m2", "a", 3, 0.5, 1_700_000_000_000L);
    }

    @Test
    void readsWhatWasWritten() throws IOException {
        var incomplete = new ServerListEntry("s-ü \"", new InetSocketAddress("::1", 9), BackendState.READY, null, null, 0, 1, 0);
        var list = new StoredServerList("n1", EARLIER, DISCOVERY, -1, -1, List.of(entry("s-1"), incomplete), Map.of());
        ServerListFile.Header header = file(EARLIER).write(list);
        assertThat(file(LATER).read()).contains(list);
        assertThat(file(LATER).readHeader()).contains(header);
        assertThat(tempDir).isDirectoryContaining(path()::equals);
    }

    @Test
    void isEmptyWithoutAFile() throws IOException {
        assertThat(file(EARLIER).read()).isEmpty();
        assertThat(file(EARLIER).readHeader()).isEmpty();
        new ServerListFile(tempDir.resolve("missing/servers"), EARLIER).deleteUnfinished();
    }

    /** A kill or a full disk may end a write at any byte. */
    @Test
    void refusesAListThatIsCutShortOrAlteredAtAnyByte() throws IOException {
        file(EARLIER).write(list(EARLIER, 42, "s-1", "s-2"));
        byte[] content = Files.readAllBytes(path());
        for (int i = 0; i < content.length; i++) {
            Files.write(path(), Arrays.copyOf(content, i));
            assertThatThrownBy(() -> file(LATER).read()).as("cut at byte %d", i).isInstanceOf(IOException.class);
            byte[] altered = content.clone();
            altered[i] ^= 1;
            Files.write(path(), altered);
            assertThatThrownBy(() -> file(LATER).read()).as("altered at byte %d", i).isInstanceOf(IOException.class);
        }
        Files.write(path(), Arrays.copyOf(content, content.length + 1));
        assertThatThrownBy(() -> file(LATER).read()).as("too long").isInstanceOf(IOException.class);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "\n", "walkpost-servers/2 1000 2 0\n{}", "walkpost-servers/1 1000 x 0\n{}", "walkpost-servers/1 1000 -1 0\n",
            "walkpost-servers/1 1000 999999999 0\n{}", "{\"version\":42}"})
    void refusesOtherFormats(String content) throws IOException {
        Files.writeString(path(), content);
        assertThatThrownBy(() -> file(LATER).read()).isInstanceOf(ServerListFile.InvalidListFileException.class);
        Files.write(path(), new byte[1_000_000]);
        assertThatThrownBy(() -> file(LATER).readHeader()).isInstanceOf(ServerListFile.InvalidListFileException.class);
    }

    /** A list that can't be stored must not leave the one that it replaces. */
    @Test
    void leavesNoFileIfTheListIsTooLong() throws IOException {
        file(EARLIER).write(list(EARLIER, 42, "s-1"));
        var entries = new ArrayList<ServerListEntry>();
        for (int i = 0; i < 9; i++) {
            entries.add(entry("s".repeat(1_000_000) + i));
        }
        var tooLong = new StoredServerList("n1", EARLIER, DISCOVERY, 43, 41, entries, Map.of());
        assertThatThrownBy(() -> file(EARLIER).write(tooLong)).hasMessageContaining("expected up to 8388608");
        assertThat(path()).doesNotExist();
    }

    @Test
    void keepsTheListIfAWriteFails() throws IOException {
        file(EARLIER).write(list(EARLIER, 42, "s-1"));
        Files.createDirectory(tempDir.resolve("servers." + LATER.startedNs() + ".tmp"));
        assertThatThrownBy(() -> file(LATER).write(list(LATER, 43, "s-1"))).isInstanceOf(IOException.class);
        assertThat(file(LATER).read()).contains(list(EARLIER, 42, "s-1"));
    }

    @Test
    void deletesWhatAKilledProcessLeftUnfinished() throws IOException {
        Files.writeString(tempDir.resolve("servers.1000.tmp"), "half a li");
        file(EARLIER).write(list(EARLIER, 42, "s-1"));
        file(LATER).deleteUnfinished();
        assertThat(tempDir).isDirectoryNotContaining("glob:**.tmp").isDirectoryContaining(path()::equals);
    }

    @Test
    void theReaderTakesEachListOfAnotherProcessOnce() throws IOException {
        var reader = new StoredListReader(file(LATER), "n1", LATER);
        assertThat(reader.readNew()).isEmpty();
        file(EARLIER).write(list(EARLIER, 42, "s-1"));
        assertThat(reader.readNew()).contains(list(EARLIER, 42, "s-1"));
        assertThat(reader.readNew()).isEmpty();
        Files.writeString(path(), "broken");
        assertThat(reader.readNew()).isEmpty();
        file(EARLIER).write(list(EARLIER, 43, "s-1"));
        assertThat(reader.readNew()).contains(list(EARLIER, 43, "s-1"));
        file(LATER).write(list(LATER, 44, "s-1"));
        assertThat(reader.readNew()).isEmpty();
    }

    @Test
    void theReaderRefusesAListOfAnotherProxy() throws IOException {
        file(EARLIER).write(list(EARLIER, 42, "s-1"));
        assertThat(new StoredListReader(file(LATER), "n2", LATER).readNew()).isEmpty();
    }

    /** During an upgrade both processes have lists of their own, and the old one's may be the older. */
    @Test
    void theEarlierProcessWritesNothingOnceALaterOneHasWritten() throws IOException {
        var earlier = new StoredListWriter(file(EARLIER), EARLIER, () -> NOW_NS);
        var later = new StoredListWriter(file(LATER), LATER, () -> NOW_NS);
        earlier.store(list(EARLIER, 42, "s-1"));
        later.store(list(LATER, 43, "s-1"));
        earlier.store(list(EARLIER, 42, "s-1", "s-2"));
        assertThat(file(LATER).read()).contains(list(LATER, 43, "s-1"));
    }

    @Test
    void theLaterProcessWritesItsListAgainIfTheEarlierOneHasReplacedIt() throws IOException {
        var later = new StoredListWriter(file(LATER), LATER, () -> NOW_NS);
        StoredServerList list = list(LATER, 43, "s-1");
        later.store(list);
        for (String content : new String[] {"", "broken"}) {
            Files.writeString(path(), content);
            later.store(list);
            assertThat(file(EARLIER).read()).contains(list);
        }
        Files.delete(path());
        later.store(list);
        assertThat(file(EARLIER).read()).contains(list);
        file(EARLIER).write(list(EARLIER, 42, "s-1"));
        later.store(list);
        assertThat(file(EARLIER).read()).contains(list);
    }

    @Test
    void aFileFromBeforeTheMachineWasRestartedIsReplaced() throws IOException {
        file(LATER).write(list(LATER, 42, "s-1"));
        new StoredListWriter(file(EARLIER), EARLIER, () -> EARLIER.startedNs() + 1).store(list(EARLIER, 3, "s-1"));
        assertThat(file(LATER).read()).contains(list(EARLIER, 3, "s-1"));
    }

    @Test
    void knowsWhichServersWereIncludedWithinATime() {
        StoredServerList list = list(EARLIER, 42, "s-1");
        assertThat(list.includedWithin(200, 1_000)).containsExactly("s-1");
        assertThat(list.includedWithin(600, 1_000)).containsExactly("s-1", "s-9");
        assertThat(list.includedWithin(100, 1_000)).isEmpty();
        assertThat(list.includedWithin(600, 700)).as("the machine was restarted since").containsExactly("s-9");
    }

    /** The stored list is compared with the last known one of the configuration, whose numbers may be another discovery's. */
    @ParameterizedTest
    @CsvSource({
        "42, 41, 41, true,  false, true",
        "3,  41, 41, true,  false, true",
        "42, 41, 41, false, false, true",
        "-1, 41, 41, true,  false, true",
        "42, 41, -1, true,  false, true",
        "42, 41, 42, true,  false, true",
        "42, 41, 43, true,  false, false",
        "42, 41, 43, true,  true,  true",
        "50, 41, 43, false, false, false",
        "50, 41, 43, false, true,  true",
    })
    void knowsWhetherItReplacesTheLastKnownList(long version, long replaced, long known, boolean sameDiscovery, boolean writerServes,
            boolean replaces) {
        var list = new StoredServerList("n1", EARLIER, DISCOVERY, version, replaced, List.of(), Map.of());
        InetSocketAddress configured = sameDiscovery ? DISCOVERY : new InetSocketAddress("127.0.0.1", 1);
        assertThat(list.replaces(known, configured, writerServes)).isEqualTo(replaces);
    }
}

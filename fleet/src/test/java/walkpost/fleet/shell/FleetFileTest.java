package walkpost.fleet.shell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import walkpost.fleet.FleetException.BadFile;
import walkpost.fleet.member.Address;

/** The fleet's file: taken whole, or refused with the field and what was expected there. */
final class FleetFileTest {
    private static final String GOOD = """
            format = 1
            cluster = "gent"
            name = "n1"
            bind = "127.0.0.1:7401"
            advertise = "127.1.0.1:7401"
            members = ["n1", "n2", "n3"]
            seeds = ["127.1.0.1:7401", "127.1.0.2:7401"]
            secret = "fleet.key"
            directory = "orders"
            shards = 4
            [bounds]
            verdict = "3s"
            load = "300ms"
            plan = "5m"
            """;

    @TempDir
    private Path folder;

    @BeforeEach
    void secret() throws IOException {
        Files.write(folder.resolve("fleet.key"), new byte[16]);
        Files.write(folder.resolve("short.key"), new byte[15]);
    }

    private FleetFile read(String toml, Map<String, String> environment) throws IOException, BadFile {
        return FleetFile.read(Files.writeString(folder.resolve("fleet.toml"), toml), environment);
    }

    @Test
    void aGoodFileIsTakenWhole() throws Exception {
        FleetFile file = read(GOOD, Map.of());
        assertThat(file.cluster()).isEqualTo("gent");
        assertThat(file.name()).isEqualTo("n1");
        assertThat(file.bind()).isEqualTo(new Address("127.0.0.1", 7401));
        assertThat(file.advertise()).isEqualTo(new Address("127.1.0.1", 7401));
        assertThat(file.members()).containsExactly("n1", "n2", "n3");
        assertThat(file.seeds()).hasSize(2).contains(new Address("127.1.0.2", 7401));
        assertThat(file.directory()).isEqualTo(folder.resolve("orders"));
        assertThat(file.shards()).isEqualTo(4);
        assertThat(List.of(file.boundUs("verdict"), file.boundUs("load"), file.boundUs("plan"), file.boundUs("another")))
                .containsExactly(3_000_000L, 300_000L, 300_000_000L, 10_000_000L);
        assertThat(file.toString()).doesNotContain("[B");
    }

    @Test
    void whatMayBeLeftOutHasItsUsualValue() throws Exception {
        FleetFile file = read("""
                format = 1
                cluster = "gent"
                bind = "127.0.0.1:0"
                members = ["n7"]
                secret = "fleet.key"
                """, Map.of("PROXY_NAME", "n7"));
        assertThat(file.name()).isEqualTo("n7");
        assertThat(file.advertise()).isNull();
        assertThat(file.directory()).isNull();
        assertThat(file.seeds()).isEmpty();
        assertThat(file.shards()).isEqualTo(8);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '~', textBlock = """
            format = 1                    | format = 2                   | format: found 2, expected a whole number from 1 to 1
            format = 1                    |                              | format: missing
            format = 1                    | format = 1.5                 | format: found 1.5
            cluster = "gent"              | cluster = ""                 | cluster: found "", expected a name
            cluster = "gent"              | cluster = "a b"              | cluster: found "a b"
            cluster = "gent"              | clutser = "gent"             | clutser: no such field, expected 'cluster'
            name = "n1"                   | name = 7                     | name: found 7
            name = "n1"                   | name = "n9"                  | members: found ["n1","n2","n3"], expected 'n9'
            name = "n1"                   |                              | name: missing
            bind = "127.0.0.1:7401"       | bind = "localhost:7401"      | bind: found "localhost:7401", expected an IPv4
            bind = "127.0.0.1:7401"       | bind = "127.0.0.1"           | bind: found "127.0.0.1"
            bind = "127.0.0.1:7401"       | bind = "127.0.0.1:65536"     | bind: found
            bind = "127.0.0.1:7401"       | bind = "[::1]:7401"          | bind: found
            advertise = "127.1.0.1:7401"  | advertise = "127.1.0.1:0"    | advertise: found "127.1.0.1:0", expected an IPv4 address
            members = ["n1", "n2", "n3"]  | members = ["n1", "n1"]       | members: found ["n1","n1"], expected a list of names
            members = ["n1", "n2", "n3"]  | members = []                 | members: found []
            members = ["n1", "n2", "n3"]  | members = "n1"               | members: found "n1"
            "127.1.0.2:7401"]             | "n2"]                        | seeds: found
            secret = "fleet.key"          | secret = "none.key"          | secret: found "none.key", expected a file beside this one
            secret = "fleet.key"          | secret = "short.key"         | secret: found "short.key", expected a file of 16 to 4096
            directory = "orders"          | directory = 3                | directory: found 3, expected the name of a file
            shards = 4                    | shards = 0                   | shards: found 0, expected a whole number from 1 to 64
            shards = 4                    | shard = 4                    | shard: no such field, expected 'shards'
            shards = 4                    | colour = 4                   | colour: no such field, expected one of
            verdict = "3s"                | verdict = 3                  | bounds.verdict: found 3, expected a duration
            verdict = "3s"                | verdict = "3"                | bounds.verdict: found "3", expected a duration
            verdict = "3s"                | verdict = "3 weeks"          | bounds.verdict: found
            verdict = "3s"                | verdict = "1ms"              | bounds.verdict: found
            plan = "5m"                   | plan = "5m" "6m"             | line 14:
            plan = "5m"                   | load = "6m"                  | line 15: Duplicate key
            """)
    void aWrongFieldIsNamedWithWhatWasExpected(String line, String instead, String told) {
        String toml = GOOD.replace(line, instead == null ? "" : instead);
        assertThat(toml).isNotEqualTo(GOOD);
        assertThatThrownBy(() -> read(toml, Map.of())).isInstanceOf(BadFile.class).hasMessageContaining("fleet.toml: " + told);
    }

    private static String voting(String name) {
        return GOOD.replace("members = [\"n1\", \"n2\", \"n3\"]", "voters = [\"v1\", \"v2\", \"v3\"]\nregion = \"north\"")
                .replace("name = \"n1\"", "name = \"" + name + "\"");
    }

    @Test
    void aMemberThatIsNoneOfTheVotersIsAnObserver() throws Exception {
        FleetFile voter = read(voting("v2"), Map.of());
        assertThat(voter.observer()).isFalse();
        assertThat(voter.voters()).containsExactly("v1", "v2", "v3");
        assertThat(voter.configured()).isEqualTo(voter.voters());
        assertThat(voter.members()).isEmpty();
        assertThat(voter.region()).isEqualTo("north");
        FleetFile observer = read(voting("n1").replace("directory = \"orders\"", "").replace("region = \"north\"", ""), Map.of());
        assertThat(observer.observer()).isTrue();
        assertThat(observer.region()).isEmpty();
        assertThat(observer.directory()).isNull();
        assertThat(read(GOOD, Map.of()).observer()).isFalse();
        assertThat(read(GOOD, Map.of()).configured()).containsExactly("n1", "n2", "n3");
    }

    @Test
    void nineVotersAreTakenAndTenAreNot() throws Exception {
        String nine = voting("v2").replace("\"v3\"", "\"v3\", \"v4\", \"v5\", \"v6\", \"v7\", \"v8\", \"v9\"");
        assertThat(read(nine, Map.of()).voters()).hasSize(9);
        assertThatThrownBy(() -> read(nine.replace("\"v9\"", "\"v9\", \"v10\""), Map.of())).isInstanceOf(BadFile.class)
                .hasMessageContaining("fleet.toml: voters: found 10, expected at most 9");
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '~', textBlock = """
            voters = ["v1", "v2", "v3"]   | voters = []                  | voters: found [], expected a list of names, one or more
            voters = ["v1", "v2", "v3"]   | voters = ["v1", "v1"]        | voters: found ["v1","v1"], expected a list of names, one or more
            voters = ["v1", "v2", "v3"]   | voters = "v1"                | voters: found "v1", expected a list of names
            voters = ["v1", "v2", "v3"]   | voters = ["v 1"]             | voters: found ["v 1"], expected a list of names
            voters = ["v1", "v2", "v3"]   | votres = ["v1"]              | votres: no such field, expected 'voters'
            voters = ["v1", "v2", "v3"]   | voters = ["n1"]\\nmembers = ["n1"] | members: found ["n1"], expected none, as 'voters' says
            region = "north"              | region = "far north"         | region: found "far north", expected a name
            region = "north"              | region = 3                   | region: found 3, expected a name
            voters = ["v1", "v2", "v3"]   | members = ["v2"]             | region: found "north", expected none, as it has a meaning only
            name = "v2"                   | name = "n1"                  | directory: found "orders", expected none, as 'n1' is not among
            """)
    void aWrongFieldOfAFileWithVotersIsNamedAsWell(String line, String instead, String told) {
        String toml = voting("v2").replace(line, instead.replace("\\n", "\n"));
        assertThat(toml).isNotEqualTo(voting("v2"));
        assertThatThrownBy(() -> read(toml, Map.of())).isInstanceOf(BadFile.class).hasMessageContaining("fleet.toml: " + told);
    }

    @Test
    void anotherObserverOfTheSameFileHasItsOwnNameAndAddress() throws Exception {
        FleetFile file = read(voting("v2"), Map.of());
        FleetFile other = file.of("n7", new Address("127.0.0.1", 0));
        assertThat(other.name()).isEqualTo("n7");
        assertThat(other.bind()).isEqualTo(new Address("127.0.0.1", 0));
        assertThat(other.advertise()).isNull();
        assertThat(other.directory()).isNull();
        assertThat(other.observer()).isTrue();
        assertThat(other.voters()).isEqualTo(file.voters());
        assertThat(other.seeds()).isEqualTo(file.seeds());
    }

    @Test
    void aNameFromTheEnvironmentIsCheckedAsOneFromTheFile() {
        assertThatThrownBy(() -> read(GOOD.replace("name = \"n1\"", ""), Map.of("PROXY_NAME", "n 1"))).isInstanceOf(BadFile.class)
                .hasMessageContaining("name: missing, expected a name here or in PROXY_NAME, which has 'n 1'");
    }

    @Test
    void anAddressOfNoInterfaceMustBeAdvertisedAsAnother() {
        String toml = GOOD.replace("\"127.0.0.1:7401\"", "\"0.0.0.0:7401\"").replace("advertise = \"127.1.0.1:7401\"\n", "");
        assertThatThrownBy(() -> read(toml, Map.of())).isInstanceOf(BadFile.class).hasMessageContaining("advertise: missing");
    }

    @Test
    void aFileThatIsNotThereIsNamed() {
        assertThatThrownBy(() -> FleetFile.read(folder.resolve("none.toml"), Map.of())).isInstanceOf(BadFile.class)
                .hasMessageContaining("none.toml: file: cannot be read");
    }
}

package walkpost.lab.scenario;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What a scenario says of proxies that are members of each other. */
final class MembersReaderTest {
    private static final String MEMBERS = ScenarioReaderTest.SMALL.replace("length = \"10s\"", "length = \"40s\"")
            .replace("proxies = 2", """
            proxies = 5
            members = true
            directory = false
            shards = 4
            [fleet.bounds]
            verdict = "3s"
            """) + """
            keep = false
            [[faults]]
            act = "part"
            at = "5s"
            length = "4s"
            groups = [[0, 3], [1]]
            [[faults]]
            act = "link"
            at = "6s"
            length = "2s"
            from = [0]
            to = [1]
            both = false
            loss = 0.3
            duplicates = 0.1
            [[calls]]
            at = "8s"
            proxy = 2
            line = "exclude s-3 fleet o-1"
            again = "300ms"
            [[calls]]
            at = "9s"
            to = "each"
            line = "readyz"
            """;

    @Test
    void membersFaultsBetweenThemAndCallsAreRead() throws BadScenario {
        Scenario scenario = ScenarioReader.parse(MEMBERS);
        Members members = scenario.fleet().members();
        assertThat(members.directory()).isFalse();
        assertThat(members.boundsUs()).isEqualTo(Map.of("verdict", 3_000_000L));
        assertThat(scenario.faults()).extracting(Scenario.Fault::keep).containsExactly(false, true, true);
        assertThat(members.calls()).extracting(Members.Call::proxies).containsExactly(List.of(2), List.of());
        Plan plan = Planner.plan(scenario, 4);
        assertThat(Planner.line(members.calls().get(0), plan)).isEqualTo("exclude " + plan.servers().get(3).id() + " fleet o-1");
        assertThat(ScenarioReader.parse(ScenarioReaderTest.SMALL).fleet().members()).isNull();
    }

    @Test
    void aFaultBetweenMembersIsOnTheWaysThatItNames() throws BadScenario {
        List<Scenario.Fault> faults = ScenarioReader.parse(MEMBERS).faults();
        Between part = faults.get(1).between();
        assertThat(part.covers(faults.get(1).target().listed(), 0, 1)).isTrue();
        assertThat(part.covers(faults.get(1).target().listed(), 1, 3)).isTrue();
        assertThat(part.covers(faults.get(1).target().listed(), 0, 3)).isFalse();
        assertThat(part.covers(faults.get(1).target().listed(), 2, 1)).isFalse();
        Between link = faults.get(2).between();
        assertThat(link.covers(List.of(0), 0, 1)).isTrue();
        assertThat(link.covers(List.of(0), 1, 0)).isFalse();
        assertThat(link.covers(List.of(0), 0, 2)).isFalse();
    }

    @Test
    void groupsAreDealtOutEvenlyAsDrawn() throws BadScenario {
        Plan plan = Planner.plan(ScenarioReader.parse(MEMBERS.replace("[[0, 3], [1]]", "2")), 4);
        Plan.PlannedFault part = plan.faults().get(1);
        List<List<Integer>> groups = part.fault().between().groups(part.hits());
        assertThat(groups).extracting(List::size).containsExactly(3, 2);
        assertThat(groups.stream().flatMap(List::stream).sorted().toList()).containsExactly(0, 1, 2, 3, 4);
    }

    private static final String BESIDE = ScenarioReaderTest.SMALL.replace("length = \"10s\"", "length = \"60s\"")
            .replace("proxies = 2", """
            proxies = 2
            members = true
            voters = 3
            in_force = "12s"
            [fleet.hollow]
            members = 25
            processes = 4
            heap = "96MiB"
            """) + """
            keep = false
            [[faults]]
            act = "kill"
            at = "5s"
            voters = [2]
            back = "2s"
            [[faults]]
            act = "stop"
            at = "9s"
            hollow = 0.5
            length = "4s"
            """;

    @Test
    void votersAndHollowMembersAreProcessesOfTheirOwn() throws BadScenario {
        Scenario scenario = ScenarioReader.parse(BESIDE);
        Members members = scenario.fleet().members();
        assertThat(members.voters()).isEqualTo(3);
        assertThat(members.inForceUs()).isEqualTo(12_000_000);
        assertThat(members.hollow()).isEqualTo(new Members.Hollow(25, 4, 96 << 20));
        assertThat(List.of(members.hollow().in(0), members.hollow().in(1), members.hollow().in(3))).containsExactly(7, 6, 6);
        assertThat(scenario.processes()).isEqualTo(9);
        assertThat(scenario.faults()).extracting(Scenario.Fault::whom)
                .containsExactly(Scenario.Whom.PROXIES, Scenario.Whom.VOTERS, Scenario.Whom.HOLLOW);
        List<Plan.PlannedFault> faults = Planner.plan(scenario, 4).faults();
        assertThat(faults.get(1).hits()).containsExactly(2);
        assertThat(faults.get(2).hits()).hasSize(2).isSubsetOf(0, 1, 2, 3);
        assertThat(ScenarioReader.parse(MEMBERS).fleet().members().voters()).isZero();
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            voters = 3         | voters = 10        | 'fleet.voters': found 10, expected a whole number from 1 to 9
            members = true     | members = false    | 'fleet.voters': found 3, expected 'members = true' beside it
            voters = 3         | shards = 4         | 'fleet.hollow': found {"members":25,"processes":4,"heap":"96MiB"}, expected 'voters'
            processes = 4      | processes = 96     | 'fleet.hollow.processes': found 96, expected a whole number from 1 to 95
            members = 25       | members = 3        | 'fleet.hollow.members': found 3, expected a whole number from 4 to 4000
            "96MiB"            | "4GiB"             | 'fleet.hollow.heap': found "4GiB", expected 2GiB at the most
            voters = [2]       | voters = [3]       | 'faults[1].voters': found [3], expected whole numbers from 0 to 2
            hollow = 0.5       | hollow = [4]       | 'faults[2].hollow': found [4], expected whole numbers from 0 to 3
            hollow = 0.5       | voters = 0.5, hollow = 0.5 | 'faults[2].hollow': found 0.5, expected one of 'proxies', 'voters' and 'hollow'
            act = "stop"       | act = "hup"        | 'faults[2].hollow': found 0.5, expected it under "kill", "term" or "stop" only
            length = "60s"     | length = "30s"     | 'length': found "30s", expected 13 s, when the last fault and call are over
            """)
    void wrongProcessesBesideAreRefused(String right, String wrong, String message) {
        String text = BESIDE.replace(right, wrong.replace(", ", "\n"));
        assertThat(text).isNotEqualTo(BESIDE);
        assertThatThrownBy(() -> ScenarioReader.parse(text)).isInstanceOf(BadScenario.class).message().startsWith(message);
    }

    @Test
    void theLabIsNotBetweenMembersAndVoters() {
        assertThatThrownBy(() -> ScenarioReader.parse(BESIDE + """
                [[faults]]
                act = "part"
                at = "5s"
                length = "4s"
                groups = 2
                """)).hasMessageStartingWith("'faults[3].act': found \"part\", expected no 'voters' under [fleet]");
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            members = true     | members = false    | 'calls': found
            [[0, 3], [1]]      | [[0, 3], [3]]      | 'faults[1].groups': found [[0,3],[3]], expected a number of groups, or two lists
            [[0, 3], [1]]      | [[0, 3], [5]]      | 'faults[1].groups': found [[0,3],[5]], expected lists of whole numbers from 0 to 4
            [[0, 3], [1]]      | 6                  | 'faults[1].groups': found 6, expected a whole number from 2 to 5
            loss = 0.3         | loss = 3           | 'faults[2].loss': found 3, expected a number from 0 to 1
            exclude s-3        | exclude s-4        | 'calls[0].line': found "exclude s-4 fleet o-1", expected servers from s-0 to s-3
            to = "each"        | to = "all"         | 'calls[1].to': found "all", expected "each"
            verdict = "3s"     | verdict = 3        | 'fleet.bounds.verdict': found 3, expected a duration
            length = "40s"     | length = "15s"     | 'length': found "15s", expected 9 s, when the last fault and call are over
            """)
    void aWrongFileIsRefused(String right, String wrong, String message) {
        String text = MEMBERS.replace(right, wrong);
        assertThat(text).isNotEqualTo(MEMBERS);
        assertThatThrownBy(() -> ScenarioReader.parse(text)).isInstanceOf(BadScenario.class).message().startsWith(message);
    }

    @ParameterizedTest
    @ValueSource(strings = {"copies-cut", "copies-return", "copies-differ", "copies-all-killed", "copies-all-killed-for-good", "scale"})
    void whatShipsCanBePlayed(String name) throws BadScenario {
        Scenario scenario = ScenarioReader.read(Path.of("scenarios", name + ".toml"));
        assertThat(scenario.name()).isEqualTo(name);
        assertThat(scenario.fleet().members().calls()).isNotEmpty();
    }

    @Test
    void thereIsNothingBetweenProxiesThatAreNoMembers() {
        assertThatThrownBy(() -> ScenarioReader.parse(ScenarioReaderTest.SMALL + """
                [[faults]]
                act = "part"
                at = "5s"
                length = "4s"
                groups = 2
                """)).hasMessageStartingWith("'faults[1].act': found \"part\", expected 'members = true' under [fleet]");
    }
}

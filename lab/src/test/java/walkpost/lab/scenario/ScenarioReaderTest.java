package walkpost.lab.scenario;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ScenarioReaderTest {
    static final String SMALL = """
            name = "small"
            about = "two proxies and four servers"
            length = "10s"
            [fleet]
            proxies = 2
            [[servers]]
            kind = "full-box"
            count = 4
            speed = [0.85, 1.1]
            [[classes]]
            name = "tile-view"
            share = 0.82
            work = ["13ms", "23ms"]
            waits = "15ms"
            aim = "200ms"
            deadline = "800ms"
            worth = 1
            effect = "safe"
            [[classes]]
            name = "repro-order"
            share = 0.18
            work = "20ms"
            waits = "25ms"
            aim = "400ms"
            deadline = "1.5s"
            worth = 10
            effect = "keyed"
            window = "3s"
            [load]
            rate = 100
            [[faults]]
            act = "kill"
            at = "3s"
            proxies = 0.5
            back = "1s"
            """;

    @Test
    void aFileIsReadWithItsUnits() throws BadScenario {
        Scenario scenario = ScenarioReader.parse(SMALL);
        assertThat(scenario.lengthUs()).isEqualTo(10_000_000);
        assertThat(scenario.classes().get(1).deadlineUs()).isEqualTo(1_500_000);
        assertThat(scenario.classes().get(0).work()).isEqualTo(new Range(13_000, 23_000));
        assertThat(scenario.faults()).singleElement().satisfies(f -> {
            assertThat(f.act()).isEqualTo(Scenario.Act.KILL);
            assertThat(f.target().share()).isEqualTo(0.5);
            assertThat(f.backUs()).isEqualTo(1_000_000);
        });
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            length = "10s"   | length = "10 parsecs"  | 'length': found "10 parsecs", expected a duration
            length = "10s"   | length = 10            | 'length': found 10, expected a duration
            proxies = 2      | proxys = 2             | 'fleet.proxies': missing, expected a whole number from 1
            rate = 100       | rate = 100\\nbrust = 2 | 'load.brust': no such field, expected 'burst'
            act = "kill"     | act = "maim"           | 'faults[0].act': found "maim", expected one of [kill, term
            at = "3s"        | at = "30s"             | 'faults[0].at': found "30s", expected a time within
            effect = "safe"  | effect = "sure"        | 'classes[0].effect': found "sure", expected one of [safe, keyed, unsafe]
            speed = [0.85, 1.1] | speed = [1.1, 0.85] | 'servers[0].speed': found [1.1,0.85], expected the least before the most
            proxies = 0.5    | proxies = [0, 2]       | 'faults[0].proxies': found [0,2], expected whole numbers from 0 to 1
            window = "3s"    | #                      | 'classes[1].window': missing, expected a duration
            back = "1s"      | back = "1s"\\nsilent = true | 'faults[0].silent': no such field, expected
            name = "repro-order" | name = "tile-view" | 'classes': two are named 'tile-view'
            [load]           | [load                  | line
            """)
    void aWrongFileIsRefusedNamingFieldAndWhatWasExpected(String right, String wrong, String message) {
        String text = SMALL.replace(right, wrong.replace("\\n", "\n"));
        assertThat(text).isNotEqualTo(SMALL);
        assertThatThrownBy(() -> ScenarioReader.parse(text)).isInstanceOf(BadScenario.class).message().startsWith(message);
    }

    private static Scenario.Fault isolated(String from) throws BadScenario {
        Scenario scenario = ScenarioReader.parse(SMALL + """

                [[faults]]
                act = "isolate"
                at = "1s"
                length = "1s"
                proxies = [0]
                """ + from);
        return scenario.faults().get(scenario.faults().size() - 1);
    }

    @Test
    void aProxyIsCutOffFromThoseListedOrElseFromAll() throws BadScenario {
        assertThat(isolated("").from()).containsExactly(Scenario.Party.values());
        assertThat(isolated("from = [\"discovery\"]").from()).containsExactly(Scenario.Party.DISCOVERY);
        assertThatThrownBy(() -> isolated("from = [\"server\"]")).isInstanceOf(BadScenario.class)
                .hasMessageContaining(".from': found [\"server\"], expected one of [servers, discovery, clients]");
    }
}

package walkpost.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class CommandLineTest {
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        return Main.run(new PrintWriter(out, true), new PrintWriter(err, true), args);
    }

    @Test
    void helpNamesEveryCommandAndExitStatus() {
        assertThat(run("--help")).isEqualTo(ExitStatus.FINE);
        assertThat(out.toString()).contains("serve", "drill", "rehearse", "generate-completion", "machine ran late");
    }

    @Test
    void anUnknownCommandIsAUsageErrorThatNamesIt() {
        assertThat(run("swerve")).isEqualTo(ExitStatus.USAGE);
        assertThat(err.toString()).contains("swerve");
    }

    @Test
    void noCommandIsAUsageError() {
        assertThat(run()).isEqualTo(ExitStatus.USAGE);
        assertThat(err.toString()).contains("Usage: walkpost");
    }

    @Test
    void aCompletionScriptIsWritten() {
        assertThat(run("generate-completion")).isEqualTo(ExitStatus.FINE);
        assertThat(out.toString()).contains("complete -F _complete_walkpost");
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            hollow fleet.toml                                   | Missing required option: '--members=N'
            hollow --members 0 fleet.toml                       | --members: found 0, expected a whole number from 1 to 1000
            hollow --members 1001 fleet.toml                    | --members: found 1001, expected a whole number from 1 to 1000
            hollow --members many fleet.toml                    | Invalid value for option '--members': 'many' is not an int
            hollow --members 2 --seconds 0 fleet.toml           | --seconds: found 0, expected a whole number from 1 to 86400
            hollow --members 2 --name a/b fleet.toml            | --name: found 'a/b', expected up to 50 letters
            hollow --members 2 --region a/b fleet.toml          | --region: found 'a/b', expected up to 50 letters
            hollow --members 2                                  | Missing required parameter: 'FILE'
            hollow --members 2 no-such.toml                     | no-such.toml
            member                                              | Missing required parameter: 'FILE'
            member no-such.toml                                 | no-such.toml
            """)
    void whatNoMemberCanBeMadeOfIsRefused(String line, String told) {
        assertThat(run(line.split(" "))).isEqualTo(ExitStatus.USAGE);
        assertThat(err.toString()).contains(told);
        assertThat(out.toString()).isEmpty();
    }

    @Test
    void aScenarioThatIsNotThereIsRefusedByItsName() {
        assertThat(run("lab", "run", "no-such.toml", "--program", "plain:random")).isEqualTo(ExitStatus.USAGE);
        assertThat(err.toString()).contains("no-such.toml: cannot be read");
    }
}

package walkpost.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;

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

    @Test
    void aScenarioThatIsNotThereIsRefusedByItsName() {
        assertThat(run("lab", "run", "no-such.toml", "--program", "plain:random")).isEqualTo(ExitStatus.USAGE);
        assertThat(err.toString()).contains("no-such.toml: cannot be read");
    }
}

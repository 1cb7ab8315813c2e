package walkpost.fleet.shell;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import walkpost.fleet.FleetException;

/** People on call find every error of the fleet's in their document. */
final class ErrorsDocumentedTest {
    @Test
    void everyErrorStandsInTheTableForPeopleOnCall() throws IOException {
        String page = Files.readString(Path.of("..", "docs", "operations.md"));
        String section = page.split("### Its errors\n")[1].split("\n#")[0];
        var rows = section.lines().filter(line -> line.startsWith("| `"))
                .collect(Collectors.toMap(line -> line.split("`")[1], line -> line.split("\\|").length));
        assertThat(rows.keySet()).containsExactlyInAnyOrderElementsOf(
                Arrays.stream(FleetException.class.getPermittedSubclasses()).map(Class::getSimpleName).toList());
        assertThat(rows.values()).as("name, when, remedy").containsOnly(4);
    }
}

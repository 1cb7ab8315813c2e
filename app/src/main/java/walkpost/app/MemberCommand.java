package walkpost.app;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import walkpost.fleet.FleetException;
import walkpost.fleet.shell.Fleet;

/** {@code walkpost member}: a member of the fleet that serves nobody, such as one that votes on a machine set aside for it. */
@Command(name = "member", mixinStandardHelpOptions = true, description = "Runs one member of the fleet that serves nothing, until it is "
        + "told to end; for voters on machines set aside.")
final class MemberCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;
    @Parameters(index = "0", paramLabel = "FILE", description = "the fleet's file; where it has no 'name', $PROXY_NAME is the member's")
    private Path file;

    @Override
    public Integer call() throws FleetException {
        PrintWriter out = spec.commandLine().getOut();
        try (var stay = new Stay(); Fleet fleet = Fleet.open(file, System.getenv())) {
            out.println(JsonNodeFactory.instance.objectNode().put("member", "ready").put("t_ms", System.currentTimeMillis())
                    .put("name", fleet.name()).put("address", fleet.address().toString()));
            stay.await(Long.MAX_VALUE);
        }
        return ExitStatus.FINE;
    }
}

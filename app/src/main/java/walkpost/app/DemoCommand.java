package walkpost.app;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;
import walkpost.lab.Lab;
import walkpost.lab.process.Program;
import walkpost.lab.scenario.BadScenario;
import walkpost.lab.verdict.Verdict;

/** {@code walkpost demo}: what the product is for, in half a minute. */
@Command(name = "demo", mixinStandardHelpOptions = true,
        description = "Kills one of three proxies under load, starts it again, and shows what clients saw.")
final class DemoCommand implements Callable<Integer> {
    private static final long SEED = 1;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws BadScenario, IOException {
        PrintWriter out = spec.commandLine().getOut();
        Path folder = LabCommand.newFolder("demo").toAbsolutePath();
        out.println("Three proxies in front of eight tile servers of unequal speed, 140 requests a second.");
        out.println("After 6 s proxy 1 is killed; half a second later it is started again.");
        Verdict verdict = Lab.run(LabCommand.scenario("demo"), SEED, Program.named(LabCommand.root().toString()), null, folder,
                LabCommand.progress(out));
        out.println("Plots: " + Lab.report(folder));
        return LabCommand.told(out, verdict);
    }
}

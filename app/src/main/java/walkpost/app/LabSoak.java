package walkpost.app;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import walkpost.lab.process.Program;
import walkpost.lab.soak.Soak;

/** {@code walkpost lab soak}: plays seeded soaks of one process, one after the other. */
@Command(name = "soak", mixinStandardHelpOptions = true, description = "Plays soaks of one process: sound clients beside crowds of unsound "
        + "ones, restarts, reloads and upgrades, all drawn from a seed.")
final class LabSoak implements Callable<Integer> {
    private static final int MS_PER_S = 1_000;

    @Spec
    private CommandSpec spec;
    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "the first seed (${DEFAULT-VALUE})")
    private long seed;
    @Option(names = "--seeds", paramLabel = "N", defaultValue = "1", description = "how many seeds (${DEFAULT-VALUE})")
    private int seeds;
    @Option(names = "--length", paramLabel = "SECONDS", defaultValue = "12", description = "of each soak (${DEFAULT-VALUE})")
    private int seconds;
    @Option(names = "--out", paramLabel = "DIR", description = "a new folder for all records (lab-out/soak-TIME)")
    private Path out;
    @Option(names = "--program", paramLabel = "DIR", description = "the built checkout of the program to play (this one)")
    private String program;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter terminal = spec.commandLine().getOut();
        Path folder = out != null ? out : LabCommand.newFolder("soak");
        Program proxy = Program.named(program == null ? LabCommand.root().toString() : program);
        int broken = 0;
        for (long next = seed; next < seed + seeds; next++) {
            Soak.Result result = Soak.play(proxy, next, seconds * MS_PER_S, folder.resolve(Long.toString(next)));
            terminal.println(result.plan());
            terminal.println(result.figures());
            result.broken().stream().limit(LabCommand.TOLD).forEach(line -> terminal.println("broken: " + line));
            terminal.flush();
            broken += result.kept() ? 0 : 1;
        }
        terminal.println("soak: " + seeds + " seeds, " + broken + " with a broken rule; records: " + folder);
        return broken == 0 ? ExitStatus.FINE : ExitStatus.BROKEN;
    }
}

package walkpost.app;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDateTime;
import java.time.format.DateTimeFormatter;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;
import picocli.CommandLine.Spec;
import walkpost.lab.Lab;
import walkpost.lab.play.Play;
import walkpost.lab.process.Program;
import walkpost.lab.scenario.BadScenario;
import walkpost.lab.scenario.Scenario;
import walkpost.lab.scenario.ScenarioReader;
import walkpost.lab.verdict.Break;
import walkpost.lab.verdict.Lateness;
import walkpost.lab.verdict.Verdict;

/** {@code walkpost lab}: experiments on a fleet of real processes. */
@Command(name = "lab", mixinStandardHelpOptions = true, description = "Experiments on a whole fleet of real processes.",
        subcommands = {LabCommand.Run.class, LabSides.Compare.class, LabSides.Baselines.class, LabSides.Start.class, LabSides.Cost.class, LabCommand.Load.class, LabSoak.class,
            LabCommand.Check.class, LabCommand.Report.class, LabCommand.ListScenarios.class})
final class LabCommand implements Callable<Integer> {
    /** So many broken rules are told one by one; the result holds them all. */
    static final int TOLD = 10;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return ExitStatus.USAGE;
    }

    /** The folder that the program was built in: where its scenarios and its deploy file are. */
    static Path root() {
        return Path.of(System.getProperty("walkpost.root", "")).toAbsolutePath().normalize();
    }

    private static Path scenarios() {
        return root().resolve("lab/scenarios");
    }

    /** A scenario goes by its file, or by the name of one that ships. */
    static Path scenario(String name) {
        Path file = Path.of(name);
        return Files.exists(file) || name.endsWith(".toml") ? file : scenarios().resolve(name + ".toml");
    }

    static String name(Path scenario) {
        return scenario.getFileName().toString().replace(".toml", "");
    }

    /** Returns a folder that is not there yet, for the records of what is done now. */
    static Path newFolder(String of) {
        return Path.of("lab-out", of + "-" + LocalDateTime.now().format(DateTimeFormatter.ofPattern("MMdd-HHmmss")));
    }

    PrintWriter out() {
        return spec.commandLine().getOut();
    }

    PrintWriter err() {
        return spec.commandLine().getErr();
    }

    static int told(PrintWriter out, Verdict verdict) {
        for (Break broken : verdict.breaks().subList(0, Math.min(TOLD, verdict.breaks().size()))) {
            out.printf(Locale.ROOT, "broken: %s at %.3f s%s%s: %s%n", broken.rule().name().toLowerCase(Locale.ROOT), broken.t() / 1e6,
                    broken.proxy() < 0 ? "" : " by proxy " + broken.proxy(), broken.id().isEmpty() ? "" : ", request " + broken.id(),
                    broken.what());
        }
        if (verdict.breaks().size() > TOLD) {
            out.printf("broken: %d more in %s%n", verdict.breaks().size() - TOLD, Lab.RESULT);
        }
        verdict.unmet().forEach(u -> out.println("not met: " + u));
        verdict.unjudged().forEach(u -> out.println("not judged, as the lab ran late: " + u));
        if (verdict.fleet() != null) {
            out.println(verdict.fleet().line());
        }
        out.println(verdict.line());
        return switch (verdict.word()) {
            case KEPT -> ExitStatus.FINE;
            case BROKEN -> ExitStatus.BROKEN;
            case LATE -> ExitStatus.LATE;
        };
    }

    @Command(name = "run", mixinStandardHelpOptions = true, description = "Plays a scenario once, and judges it.")
    static final class Run implements Callable<Integer> {
        @ParentCommand
        private LabCommand lab;
        @Parameters(index = "0", paramLabel = "FILE", description = "a scenario's file, or the name of one that ships")
        private String file;
        @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "what is drawn is drawn from it (${DEFAULT-VALUE})")
        private long seed;
        @Option(names = "--out", paramLabel = "DIR", description = "a new folder for all records (lab-out/NAME-SEED-TIME)")
        private Path out;
        @Option(names = "--program", paramLabel = "DIR", description = "the built checkout of the program to play (this one), or "
                + "plain:CHOICE for one of the lab's own proxies, plain:CHOICE/WRONG for one with a planted fault")
        private String program;
        @Option(names = "--other", paramLabel = "DIR", description = "the program that faults bring in, where the scenario has such: the same, "
                + "or a commit")
        private String other;

        @Override
        public Integer call() throws BadScenario, IOException {
            PrintWriter terminal = lab.out();
            Path scenario = scenario(file);
            Path folder = out != null ? out : newFolder(name(scenario) + "-" + seed);
            Verdict verdict = Lab.run(scenario, seed, Program.named(program == null ? root().toString() : program),
                    other == null ? null : LabSides.versions().named(other), folder.toAbsolutePath(), progress(terminal));
            terminal.println("records: " + folder);
            return told(terminal, verdict);
        }
    }

    @Command(name = "load", mixinStandardHelpOptions = true, description = "Sends a load straight to tile servers, to see what the lab "
            + "itself bears on this machine.")
    static final class Load implements Callable<Integer> {
        @ParentCommand
        private LabCommand lab;
        @Option(names = "--rate", paramLabel = "N", defaultValue = "5000", description = "requests a second (${DEFAULT-VALUE})")
        private int rate;
        @Option(names = "--length", paramLabel = "SECONDS", defaultValue = "60", description = "(${DEFAULT-VALUE})")
        private int seconds;
        @Option(names = "--servers", paramLabel = "N", defaultValue = "50", description = "(${DEFAULT-VALUE})")
        private int servers;
        @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "(${DEFAULT-VALUE})")
        private long seed;
        @Option(names = "--out", paramLabel = "DIR", description = "a new folder for all records (lab-out/load-TIME)")
        private Path out;

        @Override
        public Integer call() throws BadScenario, IOException {
            Path folder = out == null ? newFolder("load") : out;
            Verdict verdict = Lab.load(rate, seconds, servers, seed, folder.toAbsolutePath(), progress(lab.out()));
            Lateness lateness = verdict.lateness();
            lab.out().printf(Locale.ROOT, "the lab: sent up to %.2f ms late (p99), a bare timer %.2f ms, a loop held up for %.1f ms at "
                    + "most, %.0f us of CPU a request%n", lateness.sentP99Us() / 1e3, lateness.machineP99Us() / 1e3,
                    lateness.heldUs() / 1e3,
                    verdict.labCpuMs() * 1e3 / Math.max(1, verdict.figures().requests()));
            return told(lab.out(), verdict);
        }
    }

    /** Shows how far a play is: in place on a terminal, as a line now and then elsewhere. */
    static Play.Progress progress(PrintWriter out) {
        boolean terminal = System.console() != null;
        int[] told = {-1};
        return (part, what) -> {
            int tenth = (int) (part * 10);
            if (terminal) {
                out.printf(Locale.ROOT, "\r%3.0f%%  %-40s", part * 100, what);
                if (part >= 1) {
                    out.println();
                }
                out.flush();
            } else if (tenth != told[0]) {
                told[0] = tenth;
                out.printf(Locale.ROOT, "%3.0f%%  %s%n", part * 100, what);
            }
        };
    }

    @Command(name = "check", mixinStandardHelpOptions = true, description = "Judges a recorded play again.")
    static final class Check implements Callable<Integer> {
        @ParentCommand
        private LabCommand lab;
        @Parameters(index = "0", paramLabel = "DIR", description = "the folder of a play")
        private Path folder;

        @Override
        public Integer call() throws BadScenario, IOException {
            return told(lab.out(), Lab.judge(folder));
        }
    }

    @Command(name = "report", mixinStandardHelpOptions = true, description = "Writes a recorded play as one page that opens without a "
            + "network.")
    static final class Report implements Callable<Integer> {
        @ParentCommand
        private LabCommand lab;
        @Parameters(index = "0", paramLabel = "DIR", description = "the folder of a play")
        private Path folder;

        @Override
        public Integer call() throws BadScenario, IOException {
            lab.out().println(Lab.report(folder));
            return ExitStatus.FINE;
        }
    }

    @Command(name = "list", mixinStandardHelpOptions = true, description = "Lists the scenarios that ship.")
    static final class ListScenarios implements Callable<Integer> {
        @ParentCommand
        private LabCommand lab;

        @Override
        public Integer call() throws IOException {
            List<Path> files;
            try (Stream<Path> all = Files.list(scenarios())) {
                files = all.filter(f -> f.toString().endsWith(".toml")).sorted().toList();
            }
            int status = ExitStatus.FINE;
            Set<Path> bases = bases(files);
            for (Path file : files) {
                if (bases.contains(file)) {
                    continue;
                }
                try {
                    Scenario scenario = ScenarioReader.read(file);
                    lab.out().printf(Locale.ROOT, "%-18s %3d proxies %4d servers %5.0f/s %4d s  %s%n",
                            scenario.name(), scenario.fleet().proxies(), scenario.servers(), scenario.load().rate(),
                            scenario.lengthUs() / 1_000_000, scenario.about());
                } catch (BadScenario e) {
                    lab.err().println("walkpost: " + e.getMessage());
                    status = ExitStatus.USAGE;
                }
            }
            return status;
        }

        /** Returns what others are based on; a file that can't be read is told of when its turn comes. */
        private static Set<Path> bases(List<Path> files) {
            var bases = new HashSet<Path>();
            for (Path file : files) {
                try {
                    bases.add(ScenarioReader.base(file));
                } catch (BadScenario e) {
                    bases.add(null);
                }
            }
            return bases;
        }
    }
}

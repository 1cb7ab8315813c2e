package walkpost.app;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;
import walkpost.lab.Lab;
import walkpost.lab.baseline.PlainMain;
import walkpost.lab.play.StartCost;
import walkpost.lab.process.Program;
import walkpost.lab.process.Versions;
import walkpost.lab.scenario.BadScenario;
import walkpost.lab.scenario.Scenario;
import walkpost.lab.scenario.ScenarioReader;
import walkpost.lab.stats.PairedDifference;
import walkpost.lab.verdict.Room;
import walkpost.lab.verdict.Verdict;

/** The commands that play more than one program: against each other, and between a floor and a top. */
final class LabSides {
    private LabSides() { }

    static Versions versions() {
        return new Versions(LabCommand.root(), Path.of("lab-out", "versions"));
    }

    /** Plays one side and tells a line of it. */
    private static Verdict play(PrintWriter out, Path scenario, long seed, Program program, Path folder) throws BadScenario, IOException {
        Verdict verdict = Lab.run(scenario, seed, program, null, folder.toAbsolutePath(), (part, what) -> { });
        out.printf("%-22s seed %-4d %s%n", program.name(), seed, verdict.line());
        return verdict;
    }

    @Command(name = "compare", mixinStandardHelpOptions = true, description = "Plays two programs in turn, A B A B, and gives the paired "
            + "difference of G with a 95%% bootstrap interval.")
    static final class Compare implements Callable<Integer> {
        @ParentCommand
        private LabCommand lab;
        @Parameters(index = "0", paramLabel = "A", description = "a built checkout's folder, a commit, or plain:CHOICE")
        private String first;
        @Parameters(index = "1", paramLabel = "B", description = "the same")
        private String second;
        @Option(names = "--scenario", paramLabel = "FILE", required = true, description = "a scenario's file or name; may be given again")
        private List<String> scenarios;
        @Option(names = "--seeds", paramLabel = "N", defaultValue = "3", description = "seeds 1 to N are played (${DEFAULT-VALUE})")
        private int seeds;
        @Option(names = "--out", paramLabel = "DIR", description = "a new folder for all records (lab-out/compare-TIME)")
        private Path out;

        @Override
        public Integer call() throws BadScenario, IOException {
            PrintWriter terminal = lab.out();
            Path folder = out == null ? LabCommand.newFolder("compare") : out;
            int status = ExitStatus.FINE;
            Program a = versions().named(first);
            Program b = versions().named(second);
            for (String name : scenarios) {
                status = Math.max(status, compare(terminal, LabCommand.scenario(name), a, b, folder));
            }
            return status;
        }

        private int compare(PrintWriter terminal, Path scenario, Program a, Program b, Path folder) throws BadScenario, IOException {
            var before = new ArrayList<Double>();
            var after = new ArrayList<Double>();
            boolean broken = false;
            int unlike = 0;
            String name = LabCommand.name(scenario);
            for (long seed = 1; seed <= seeds; seed++) {
                Verdict one = play(terminal, scenario, seed, a, folder.resolve(name + "-" + seed + "-A"));
                Verdict other = play(terminal, scenario, seed, b, folder.resolve(name + "-" + seed + "-B"));
                broken |= !one.breaks().isEmpty() || !other.breaks().isEmpty();
                // What the machine did to one side alone is not to be taken for the program's doing.
                if (one.lateness().like(other.lateness())) {
                    before.add(one.figures().g());
                    after.add(other.figures().g());
                } else {
                    unlike++;
                }
            }
            if (unlike > 0) {
                terminal.printf("%s: %d of %d pairs left out, as one side ran later than the other%n", name, unlike, seeds);
            }
            if (before.isEmpty()) {
                terminal.println(name + ": nothing is compared");
                return ExitStatus.LATE;
            }
            PairedDifference difference = PairedDifference.of(before.stream().mapToDouble(d -> d).toArray(),
                    after.stream().mapToDouble(d -> d).toArray());
            terminal.printf(Locale.ROOT, "%s: %s %.3f, %s %.3f; difference %+.3f, 95%% interval %+.3f to %+.3f, %d pairs%s%n", name, a.name(),
                    mean(before), b.name(), mean(after), difference.mean(), difference.from(), difference.to(), difference.pairs(),
                    difference.clear() ? "" : ", not clear of 0");
            return broken ? ExitStatus.BROKEN : ExitStatus.FINE;
        }

        private static double mean(List<Double> of) {
            return of.stream().mapToDouble(d -> d).average().orElseThrow();
        }
    }

    @Command(name = "baselines", mixinStandardHelpOptions = true, description = "Plays a program between the lab's own proxies, of which "
            + "random choice is the floor and the oracle the top.")
    static final class Baselines implements Callable<Integer> {
        private static final List<String> BELOW = List.of("random", "round-robin", "least-outstanding", "peak-ewma");

        @ParentCommand
        private LabCommand lab;
        @Parameters(index = "0", paramLabel = "FILE", description = "a scenario's file, or the name of one that ships")
        private String file;
        @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "the same for all (${DEFAULT-VALUE})")
        private long seed;
        @Option(names = "--program", paramLabel = "DIR", description = "a built checkout's folder or a commit (this one)")
        private String program;
        @Option(names = "--out", paramLabel = "DIR", description = "a new folder for all records (lab-out/baselines-TIME)")
        private Path out;

        @Override
        public Integer call() throws BadScenario, IOException {
            PrintWriter terminal = lab.out();
            Path folder = out == null ? LabCommand.newFolder("baselines") : out;
            Path scenario = LabCommand.scenario(file);
            var sides = new ArrayList<Program>();
            for (String choice : BELOW) {
                sides.add(Program.plain(choice, null));
            }
            sides.add(versions().named(program == null ? LabCommand.root().toString() : program));
            sides.add(Program.plain("oracle", null));
            var played = new ArrayList<Verdict>();
            for (Program side : sides) {
                played.add(play(terminal, scenario, seed, side, folder.resolve(side.name().replace(':', '-'))));
            }
            return table(terminal, played);
        }

        private static int table(PrintWriter terminal, List<Verdict> played) {
            double floor = played.get(0).figures().g();
            double top = played.get(played.size() - 1).figures().g();
            boolean late = false;
            for (Verdict verdict : played) {
                double g = verdict.figures().g();
                terminal.printf(Locale.ROOT, "%-22s G %6.3f   between floor and top %6.3f   %s%n", verdict.program(), g,
                        (g - floor) / (top - floor), (verdict.breaks().isEmpty() ? "rules kept"
                                : verdict.breaks().size() + " broken rules") + (verdict.unjudged().isEmpty() ? "" : ", late"));
                late |= !verdict.unjudged().isEmpty();
            }
            boolean broken = !played.get(BELOW.size()).breaks().isEmpty();
            return broken ? ExitStatus.BROKEN : late ? ExitStatus.LATE : ExitStatus.FINE;
        }
    }

    @Command(name = "start", mixinStandardHelpOptions = true, description = "Starts two programs in turn, A B A B, and gives what a start "
            + "costs each: CPU and memory up to the first connection taken.")
    static final class Start implements Callable<Integer> {
        @ParentCommand
        private LabCommand lab;
        @Parameters(index = "0", paramLabel = "A", description = "a built checkout's folder, or a commit")
        private String first;
        @Parameters(index = "1", paramLabel = "B", description = "the same")
        private String second;
        @Option(names = "--pairs", paramLabel = "N", defaultValue = "11", description = "(${DEFAULT-VALUE})")
        private int pairs;

        @Override
        public Integer call() throws BadScenario, IOException {
            Path folder = LabCommand.newFolder("start").toAbsolutePath();
            Program a = versions().named(first);
            Program b = versions().named(second);
            Scenario scenario = ScenarioReader.read(LabCommand.scenario("steady"));
            double[][] cpu = new double[2][pairs];
            double[][] memory = new double[2][pairs];
            for (int pair = 0; pair < pairs; pair++) {
                for (int side = 0; side < 2; side++) {
                    StartCost cost = StartCost.measure(side == 0 ? a : b, scenario, folder.resolve(pair + "-" + side));
                    cpu[side][pair] = cost.cpuUs() / 1e3;
                    memory[side][pair] = cost.memoryKb() / 1024.0;
                }
            }
            tell("CPU up to the first connection, ms", cpu, a, b);
            tell("resident memory then, MiB", memory, a, b);
            return ExitStatus.FINE;
        }

        private void tell(String what, double[][] sides, Program a, Program b) {
            PairedDifference difference = PairedDifference.of(sides[0], sides[1]);
            lab.out().printf(Locale.ROOT, "%s: %s median %.1f, %s median %.1f (%+.1f%%); mean difference %+.1f, 95%% interval %+.1f to %+.1f, "
                    + "%d pairs%n", what, a.name(), median(sides[0]), b.name(), median(sides[1]),
                    100 * (median(sides[1]) / median(sides[0]) - 1), difference.mean(), difference.from(), difference.to(), pairs);
        }

        private static double median(double[] of) {
            double[] sorted = of.clone();
            java.util.Arrays.sort(sorted);
            return sorted[sorted.length / 2];
        }
    }

    @Command(name = "cost", mixinStandardHelpOptions = true, description = "Plays one proxy at rising rates, and a relay that only passes "
            + "bytes on beside it: CPU a request, and the highest rate at which 99%% are in time.")
    static final class Cost implements Callable<Integer> {
        private static final double ENOUGH = 0.99;

        @ParentCommand
        private LabCommand lab;
        @Option(names = "--program", paramLabel = "DIR", description = "a built checkout's folder or a commit (this one)")
        private String program;
        @Option(names = "--rates", paramLabel = "N", split = ",", defaultValue = "500,1000,2000,4000,8000,16000",
                description = "requests a second, rising; a side that can't bear one is not given the next (${DEFAULT-VALUE})")
        private List<Integer> rates;

        @Override
        public Integer call() throws BadScenario, IOException {
            Path folder = LabCommand.newFolder("cost").toAbsolutePath();
            Program proxy = versions().named(program == null ? LabCommand.root().toString() : program);
            Program relay = Program.plain(PlainMain.RELAY, null);
            double[] highest = new double[2];
            boolean[] enough = {true, true};
            boolean late = false;
            for (int rate : rates) {
                double[] cost = new double[2];
                for (int side = 0; side < 2; side++) {
                    if (!enough[side]) {
                        continue;
                    }
                    Lab.Cost one = Lab.cost(side == 0 ? relay : proxy, rate, folder.resolve(rate + (side == 0 ? "-relay" : "-proxy")));
                    cost[side] = one.cpuUs();
                    Room.Stand stand = one.verdict().rooms().get(Verdict.LAST_SERVED).atLeast(ENOUGH);
                    enough[side] = stand == Room.Stand.MET;
                    highest[side] = enough[side] ? rate : highest[side];
                    late |= stand == Room.Stand.OPEN;
                    lab.out().printf(Locale.ROOT, "%-14s %6d/s  %5.0f us of CPU a request  in time %.4f  sent %.2f ms late (p99)%n",
                            side == 0 ? "relay" : proxy.name(), rate, one.cpuUs(), one.verdict().figures().lastServed(),
                            one.verdict().lateness().sentP99Us() / 1e3);
                }
                if (cost[0] > 0 && cost[1] > 0) {
                    lab.out().printf(Locale.ROOT, "%21d/s  ratio %.2f%n", rate, cost[1] / cost[0]);
                }
            }
            lab.out().printf(Locale.ROOT, "highest rate with 99%% in time: relay %.0f/s, %s %.0f/s, ratio %.2f%n", highest[0], proxy.name(),
                    highest[1], highest[1] / highest[0]);
            return late ? ExitStatus.LATE : ExitStatus.FINE;
        }
    }
}

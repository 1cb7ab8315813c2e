package walkpost.fleet.scale;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/**
 * The fleet at sizes that no machine here can run as processes: the real machines and the real bytes, on a virtual clock and network.
 * {@code fleet/scale.sh} starts it; {@code docs/capacity-control.md} has what came of it.
 */
public final class Scale {
    private Scale() { }

    public static void main(String[] args) {
        PrintStream print = new PrintStream(System.out, true, StandardCharsets.UTF_8);
        if (args.length == 0) {
            print.println("today [--members 8,24,48,96] [--facts 0] [--seconds 30] [--seed 1] [--loss 0.001] [--types true]");
            print.println("ordinary|voter-dead|four-dead|zone-lost|region-cut|restart-all|voters-killed [--observers 590] [--voters 9]"
                    + " [--directories true] [--rate 1] [--seconds 600] [--tells 1] [--settle 120] [--seed 1] [--loss 0.001] [--types true]");
            return;
        }
        Options options = new Options(args);
        if (options.scenario().equals("today")) {
            new Today(options, print).run();
        } else {
            new Observed(options, print).run();
        }
    }
}

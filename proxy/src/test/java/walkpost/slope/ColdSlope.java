package walkpost.slope;

import walkpost.Balancer.Backend;
import walkpost.Balancer.ListKind;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/**
 * How long a cold server waits for its first request, of all proxies together, in virtual time. A probe, not a test:
 * {@code docs/capacity-module.md} has the command and what it gave.
 */
public final class ColdSlope {
    private static final long WARM_UP = 4 * ModuleDrive.S;

    private ColdSlope() { }

    /** Takes the requests a second of one proxy, the most seconds to wait, the seeds, then pairs of proxies and servers. */
    public static void main(String[] args) {
        double perS = Double.parseDouble(args[0]);
        for (int i = 3; i < args.length; i += 2) {
            var waits = new ArrayList<Double>();
            int within = 0;
            for (int seed = 0; seed < Integer.parseInt(args[2]); seed++) {
                double[] sends = sends(Integer.parseInt(args[i]), Integer.parseInt(args[i + 1]), perS, Double.parseDouble(args[1]), seed);
                waits.add(sends.length == 0 ? Double.POSITIVE_INFINITY : sends[0]);
                within += sends.length;
            }
            waits.sort(null);
            System.out.printf("proxies %4s  servers %5s  %.2f requests/s each  first request to a cold server after %.2f s (least %.2f, most %.2f);"
                    + " %d in %s s over %s starts%n", args[i], args[i + 1], perS, waits.get(waits.size() / 2), waits.get(0),
                    waits.get(waits.size() - 1), within, args[1], args[2]);
        }
    }

    /** Returns when the cold server was sent something, in seconds from its start, in order. */
    private static double[] sends(int proxies, int servers, double perS, double waitS, long seed) {
        List<Backend> list = ModuleDrive.servers(servers);
        var random = new Random(seed);
        var fleet = new ModuleDrive[proxies];
        var sends = new ArrayList<Double>();
        long began = 1_000 * ModuleDrive.S;
        Backend cold = ModuleDrive.ready("cold-" + seed, began + WARM_UP);
        for (int rank = 0; rank < proxies; rank++) {
            var one = new ModuleDrive(ModuleDrive.settings(proxies, rank, 1, 0));
            one.list(ListKind.FULL, list);
            one.onSend(send -> {
                if (send.backend().equals(cold.id())) {
                    sends.add((one.now - cold.startedAtUs()) / 1e6);
                }
            });
            fleet[rank] = one;
        }
        boolean told = false;
        // Each request comes to any of them: none is in step.
        double gapUs = ModuleDrive.S / (perS * proxies);
        double at = began;
        while (at < began + WARM_UP + waitS * ModuleDrive.S) {
            at += gapUs * -Math.log(1 - random.nextDouble());
            if (!told && at >= began + WARM_UP) {
                told = true;
                for (ModuleDrive each : fleet) {
                    each.until((long) at);
                    each.list(ListKind.DELTA, List.of(cold));
                }
            }
            ModuleDrive one = fleet[random.nextInt(proxies)];
            one.until((long) at);
            one.arrive(0, 0);
        }
        return Arrays.stream(sends.toArray(Double[]::new)).mapToDouble(d -> d).sorted().toArray();
    }
}

package walkpost.slope;

import walkpost.Balancer.Backend;
import walkpost.Balancer.ListKind;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/**
 * Measures, in virtual time, how long a cold server waits for its first request from any of the proxies. A benchmark program, not a test:
 * {@code docs/capacity-module.md} has the command and its results.
 */
public final class ColdSlope {
    private static final long WARM_UP_US = 4 * ModuleDrive.S;

    private ColdSlope() { }

    /**
     * Runs the measurement.
     *
     * @param args the requests a second of one proxy, the most seconds to wait, the number of seeds, then pairs of proxies and servers
     */
    public static void main(String[] args) {
        double requestsPerS = Double.parseDouble(args[0]);
        for (int i = 3; i < args.length; i += 2) {
            var waits = new ArrayList<Double>();
            int sendsInTime = 0;
            for (int seed = 0; seed < Integer.parseInt(args[2]); seed++) {
                double[] sends = sendTimes(Integer.parseInt(args[i]), Integer.parseInt(args[i + 1]), requestsPerS,
                        Double.parseDouble(args[1]), seed);
                waits.add(sends.length == 0 ? Double.POSITIVE_INFINITY : sends[0]);
                sendsInTime += sends.length;
            }
            waits.sort(null);
            System.out.printf("proxies %4s  servers %5s  %.2f requests/s each  first request to a cold server after %.2f s "
                    + "(least %.2f, most %.2f); %d in %s s over %s starts%n", args[i], args[i + 1], requestsPerS,
                    waits.get(waits.size() / 2), waits.get(0), waits.get(waits.size() - 1), sendsInTime, args[1], args[2]);
        }
    }

    /** Returns the times at which the cold server was sent a request, in seconds from its start, in order. */
    private static double[] sendTimes(int proxies, int servers, double requestsPerS, double waitS, long seed) {
        List<Backend> list = ModuleDrive.servers(servers);
        var random = new Random(seed);
        var fleet = new ModuleDrive[proxies];
        var sends = new ArrayList<Double>();
        long beganAt = 1_000 * ModuleDrive.S;
        Backend cold = ModuleDrive.ready("cold-" + seed, beganAt + WARM_UP_US);
        for (int rank = 0; rank < proxies; rank++) {
            var drive = new ModuleDrive(ModuleDrive.settings(proxies, rank, 1, 0));
            drive.list(ListKind.FULL, list);
            drive.onSend(send -> {
                if (send.backend().equals(cold.id())) {
                    sends.add((drive.now - cold.startedAtUs()) / 1e6);
                }
            });
            fleet[rank] = drive;
        }
        boolean coldServerListed = false;
        // Each request comes to a random proxy, so that the proxies are not in step.
        double gapUs = ModuleDrive.S / (requestsPerS * proxies);
        double at = beganAt;
        while (at < beganAt + WARM_UP_US + waitS * ModuleDrive.S) {
            at += gapUs * -Math.log(1 - random.nextDouble());
            if (!coldServerListed && at >= beganAt + WARM_UP_US) {
                coldServerListed = true;
                for (ModuleDrive each : fleet) {
                    each.advanceTo((long) at);
                    each.list(ListKind.DELTA, List.of(cold));
                }
            }
            ModuleDrive drive = fleet[random.nextInt(proxies)];
            drive.advanceTo((long) at);
            drive.arrive(0, 0);
        }
        return Arrays.stream(sends.toArray(Double[]::new)).mapToDouble(time -> time).sorted().toArray();
    }
}

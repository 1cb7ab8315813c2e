package walkpost.slope;

import walkpost.Balancer.Backend;
import walkpost.Balancer.ListKind;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Measures, after ten minutes of virtual time, how long ago one proxy had its last answer from each server. A benchmark program, not a
 * test: {@code docs/capacity-module.md} has the command and its results.
 */
public final class AgeSlope {
    private static final long SECONDS = 600;
    /** The duration with cold servers: short enough for them still to be cold at its end. */
    private static final long COLD_SECONDS = 20;

    private AgeSlope() { }

    /**
     * Runs the measurement.
     *
     * @param args {@code warm}, or {@code cold} if all servers have just started; the requests a second of one proxy; then the numbers of
     *     servers
     */
    public static void main(String[] args) {
        double requestsPerS = Double.parseDouble(args[1]);
        for (int i = 2; i < args.length; i++) {
            printAges(Integer.parseInt(args[i]), requestsPerS, args[0].equals("cold"));
        }
    }

    private static void printAges(int servers, double requestsPerS, boolean cold) {
        var drive = new ModuleDrive(ModuleDrive.settings(ModuleDrive.PROXIES, 17, 1, 0));
        List<Backend> list = ModuleDrive.servers(servers);
        list.replaceAll(backend -> cold ? ModuleDrive.ready(backend.id(), drive.now) : backend);
        drive.list(ListKind.FULL, list);
        long startedAt = drive.now;
        Map<String, Long> answeredAt = new HashMap<>();
        drive.onSend(send -> answeredAt.put(send.backend(), drive.now + ModuleDrive.ANSWER_US));
        while (drive.now - startedAt < (cold ? COLD_SECONDS : SECONDS) * ModuleDrive.S) {
            drive.arrive(0, 0);
            drive.advanceTo(startedAt + (long) (drive.requests() * ModuleDrive.S / requestsPerS));
        }
        long now = drive.now;
        double[] ages = answeredAt.values().stream().mapToDouble(at -> Math.max(0, now - at) / 1e6).sorted().toArray();
        long answeredLately = Arrays.stream(ages).filter(age -> age <= 9).count();
        System.out.printf("servers %5d  %s  %.2f requests/s  refused %.1f%%  answered ever %d  in the last 9 s %d  never %d "
                + " age of those answered p50 %.1f s p99 %.1f s%n", servers, cold ? "cold" : "warm", requestsPerS,
                100.0 * drive.refused() / drive.requests(), ages.length, answeredLately, servers - ages.length,
                ages[ages.length / 2], ages[(int) (0.99 * (ages.length - 1))]);
    }
}

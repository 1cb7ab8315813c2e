package walkpost.slope;

import walkpost.Balancer.Backend;
import walkpost.Balancer.ListKind;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How old a proxy's last own answer of each server is after ten minutes of virtual time. A probe, not a test:
 * {@code docs/capacity-module.md} has the command and what it gave.
 */
public final class AgeSlope {
    private static final long SECONDS = 600;
    /** While they are cold still. */
    private static final long COLD_SECONDS = 20;

    private AgeSlope() { }

    /** Takes {@code warm} or, for servers that have all just started, {@code cold}; requests a second of one proxy; numbers of servers. */
    public static void main(String[] args) {
        double perS = Double.parseDouble(args[1]);
        for (int i = 2; i < args.length; i++) {
            ages(Integer.parseInt(args[i]), perS, args[0].equals("cold"));
        }
    }

    private static void ages(int servers, double perS, boolean cold) {
        var drive = new ModuleDrive(ModuleDrive.settings(ModuleDrive.PROXIES, 17, 1, 0));
        List<Backend> list = ModuleDrive.servers(servers);
        list.replaceAll(b -> cold ? ModuleDrive.ready(b.id(), drive.now) : b);
        drive.list(ListKind.FULL, list);
        long began = drive.now;
        Map<String, Long> answeredAt = new HashMap<>();
        drive.onSend(send -> answeredAt.put(send.backend(), drive.now + ModuleDrive.ANSWER_US));
        while (drive.now - began < (cold ? COLD_SECONDS : SECONDS) * ModuleDrive.S) {
            drive.arrive(0, 0);
            drive.until(began + (long) (drive.requests() * ModuleDrive.S / perS));
        }
        long now = drive.now;
        double[] ages = answeredAt.values().stream().mapToDouble(at -> Math.max(0, now - at) / 1e6).sorted().toArray();
        long inUse = Arrays.stream(ages).filter(age -> age <= 9).count();
        System.out.printf("servers %5d  %s  %.2f requests/s  refused %.1f%%  answered ever %d  in the last 9 s %d  never %d  age of those answered"
                + " p50 %.1f s p99 %.1f s%n", servers, cold ? "cold" : "warm", perS, 100.0 * drive.refused() / drive.requests(), ages.length, inUse, servers - ages.length,
                ages[ages.length / 2], ages[(int) (0.99 * (ages.length - 1))]);
    }
}

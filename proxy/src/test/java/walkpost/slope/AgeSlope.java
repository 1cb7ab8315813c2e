package walkpost.slope;

import walkpost.Balancer.ListKind;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * How old a proxy's last own answer of each server is after ten minutes of virtual time. A probe, not a test:
 * {@code docs/capacity-module.md} has the command and what it gave.
 */
public final class AgeSlope {
    private static final long SECONDS = 600;

    private AgeSlope() { }

    /** Takes the requests a second of one proxy (for all servers given), then numbers of servers. */
    public static void main(String[] args) {
        double perS = Double.parseDouble(args[0]);
        for (int i = 1; i < args.length; i++) {
            ages(Integer.parseInt(args[i]), perS);
        }
    }

    private static void ages(int servers, double perS) {
        var drive = new ModuleDrive(ModuleDrive.settings(ModuleDrive.PROXIES, 17, 1, 0));
        drive.list(ListKind.FULL, ModuleDrive.servers(servers));
        long began = drive.now;
        Map<String, Long> answeredAt = new HashMap<>();
        drive.onSend(send -> answeredAt.put(send.backend(), drive.now + ModuleDrive.ANSWER_US));
        while (drive.now - began < SECONDS * ModuleDrive.S) {
            drive.arrive(0, 0);
            drive.until(began + (long) (drive.requests() * ModuleDrive.S / perS));
        }
        long now = drive.now;
        double[] ages = answeredAt.values().stream().mapToDouble(at -> (now - at) / 1e6).sorted().toArray();
        long fresh = Arrays.stream(ages).filter(age -> age <= 60).count();
        System.out.printf("servers %5d  %.2f requests/s  refused %.1f%%  answered ever %d  in the last minute %d  never %d  age of those answered"
                + " p50 %.1f s p99 %.1f s%n", servers, perS, 100.0 * drive.refused() / drive.requests(), ages.length, fresh, servers - ages.length,
                ages[ages.length / 2], ages[(int) (0.99 * (ages.length - 1))]);
    }
}

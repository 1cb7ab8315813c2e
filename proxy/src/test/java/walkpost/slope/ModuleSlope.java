package walkpost.slope;

import walkpost.Balancer.Backend;
import walkpost.Balancer.BackendState;
import walkpost.Balancer.ListKind;
import walkpost.Balancer.Outcome;
import walkpost.Balancer.SettingsChanged;
import java.util.ArrayList;
import java.util.List;

/**
 * Measures CPU time and heap of the decision module by the number of servers, tenants, classes and list changes. A benchmark program, not
 * a test: {@code docs/capacity-module.md} has the command and its results.
 */
public final class ModuleSlope {
    private ModuleSlope() { }

    /**
     * Runs a measurement.
     *
     * @param args one of servers, tenants, classes, changes, failing and size
     */
    public static void main(String[] args) {
        // Warms up, so that no size pays for the work of the JIT compiler.
        measure(200, 1, 200, true);
        measure(200, 1, 200, true);
        switch (args[0]) {
            case "servers" -> {
                for (int servers : new int[] {33, 100, 400, 1_600, 6_200}) {
                    measure(servers, 1, 1_000, false);
                }
            }
            case "tenants" -> {
                for (int tenants : new int[] {240, 1_000, 6_000, 24_000}) {
                    measure(400, 1, tenants, false);
                }
            }
            case "classes" -> {
                for (int classes : new int[] {1, 3, 10, 30}) {
                    measure(400, classes, 1_000, false);
                }
            }
            case "changes" -> {
                for (int changed : new int[] {1, 10, 100, 620, 6_200}) {
                    measureChanges(6_200, changed);
                }
                measureReplacements(6_200, 20, 620);
            }
            case "failing" -> {
                for (int servers : new int[] {33, 400, 1_600, 6_200}) {
                    measureFailures(servers, 24_000);
                }
            }
            case "size" -> measure(6_200, 1, 24_000, false);
            default -> throw new IllegalArgumentException("unknown measurement '" + args[0]
                    + "', expected one of servers, tenants, classes, changes, failing, size");
        }
    }

    private static void measure(int servers, int classes, int tenants, boolean warmUp) {
        try {
            var retained = new ModuleDrive[1];
            String figures = measureTimes(servers, classes, tenants, retained);
            long usedWithModule = ModuleDrive.usedBytes();
            retained[0] = null;
            long heap = usedWithModule - ModuleDrive.usedBytes();
            if (!warmUp) {
                System.out.printf("servers %5d  classes %2d  tenants %5d  %s  heap %.2f MB (%.1f B a pair)%n", servers, classes,
                        tenants, figures, heap / 1e6, heap / (double) servers / tenants / classes);
            }
        } catch (OutOfMemoryError e) {
            System.out.printf("servers %5d  classes %2d  tenants %5d  does not fit in %d MB of heap%n", servers, classes, tenants,
                    Runtime.getRuntime().maxMemory() >> 20);
        }
    }

    /** Measures CPU times. Leaves the module, with its settings and its list, referenced by {@code retained} alone, to measure its heap. */
    private static String measureTimes(int servers, int classes, int tenants, ModuleDrive[] retained) {
        var settings = ModuleDrive.settings(ModuleDrive.PROXIES, 17, classes, tenants);
        List<Backend> list = ModuleDrive.servers(servers);
        var drive = new ModuleDrive(settings);
        retained[0] = drive;
        long beginNs = ModuleDrive.cpuNs();
        drive.list(ListKind.FULL, list);
        double firstMs = (ModuleDrive.cpuNs() - beginNs) / 1e6;
        double listMs = ModuleDrive.medianMs(() -> drive.list(ListKind.FULL, list));
        drive.requestOfEachTenantAndClass(classes, tenants, 92);
        long[] requestNs = drive.measureRequests(2_000, classes, tenants);
        double reloadMs = ModuleDrive.medianMs(() -> drive.feed(new SettingsChanged(settings)));
        return String.format("list first %.1f ms again %.1f ms  request p50 %.1f us p99 %.1f us max %.0f us  reload %.2f ms", firstMs,
                listMs, ModuleDrive.quantileUs(requestNs, 0.5), ModuleDrive.quantileUs(requestNs, 0.99),
                ModuleDrive.quantileUs(requestNs, 1), reloadMs);
    }

    private static void measureChanges(int servers, int changed) {
        var drive = new ModuleDrive(ModuleDrive.settings(ModuleDrive.PROXIES, 17, 1, 0));
        List<Backend> list = ModuleDrive.servers(servers);
        drive.list(ListKind.FULL, list);
        double ms = ModuleDrive.medianMs(() -> drive.list(ListKind.DELTA, list.subList(0, changed)));
        System.out.printf("servers %5d  changed %5d  %.2f ms  %.2f us a change%n", servers, changed, ms, 1e3 * ms / changed);
    }

    /** Replaces servers by others in list changes, and measures the heap that the removed ones leave behind. */
    private static void measureReplacements(int servers, int rounds, int each) {
        var drive = new ModuleDrive(ModuleDrive.settings(ModuleDrive.PROXIES, 17, 1, 0));
        var list = new ArrayList<>(ModuleDrive.servers(servers));
        drive.list(ListKind.FULL, list);
        long before = ModuleDrive.usedBytes();
        for (int round = 0; round < rounds; round++) {
            for (int i = 0; i < each; i++) {
                int at = (round * each + i) % servers;
                Backend gone = list.get(at);
                list.set(at, ModuleDrive.ready("n-" + round + "-" + i, 0));
                drive.list(ListKind.DELTA, List.of(new Backend(gone.id(), BackendState.GONE, null, null, 0, 0, 1), list.get(at)));
            }
            System.out.printf("replaced %5d of %d, as changes  heap +%.2f MB%n", (round + 1) * each, servers,
                    (ModuleDrive.usedBytes() - before) / 1e6);
        }
        drive.list(ListKind.FULL, list);
        System.out.printf("then a whole list  heap +%.2f MB%n", (ModuleDrive.usedBytes() - before) / 1e6);
    }

    /** Answers all requests with errors, and measures the heap taken by flows that failed. */
    private static void measureFailures(int servers, int tenants) {
        var drive = new ModuleDrive(ModuleDrive.settings(ModuleDrive.PROXIES, 17, 1, tenants));
        drive.list(ListKind.FULL, ModuleDrive.servers(servers));
        drive.measureRequests(100, 1, tenants);
        drive.answerWith(Outcome.ERROR);
        long before = ModuleDrive.usedBytes();
        for (int i = 0; i < 60_000; i++) {
            if (i % 15_000 == 0) {
                System.out.printf("servers %5d  tenants %d  errors %5d  heap +%.2f MB%n", servers, tenants, i,
                        (ModuleDrive.usedBytes() - before) / 1e6);
            }
            drive.request(0, i);
        }
    }
}

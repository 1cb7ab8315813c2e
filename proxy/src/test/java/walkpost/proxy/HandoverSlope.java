package walkpost.proxy;

import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import walkpost.Balancer.BackendState;

/**
 * Measures what storing the list of servers and reading it cost a process of an upgrade: CPU time and bytes. A measuring program, not a test:
 * {@code HandoverSlope SERVERS}; {@code docs/CAPACITY.md} has its results.
 */
final class HandoverSlope {
    private static final int WARMUP_ROUNDS = 200;
    private static final int ROUNDS = 50;
    private static final InetSocketAddress DISCOVERY = new InetSocketAddress("127.0.0.1", 8500);

    private HandoverSlope() { }

    /** Runs the measurement and prints one line. */
    public static void main(String[] args) throws Exception {
        int servers = Integer.parseInt(args[0]);
        Path directory = Files.createTempDirectory("handover-slope");
        Path path = directory.resolve("servers");
        var writer = new StoredServerList.WriterId(System.nanoTime());
        var file = new ServerListFile(path, writer);
        var list = new StoredServerList("n1", writer, DISCOVERY, 42, 41, entries(servers), Map.of());
        double coldWriteMs = cpuMs(() -> file.write(list));
        double coldReadMs = cpuMs(file::read);
        double writeMs = medianCpuMs(() -> file.write(list));
        double readMs = medianCpuMs(file::read);
        System.out.printf("%d servers: %d bytes; write %.2f ms (first %.1f), read %.2f ms (first %.1f)%n", servers, Files.size(path), writeMs,
                coldWriteMs, readMs, coldReadMs);
        Files.delete(path);
        Files.delete(directory);
    }

    private static List<ServerListEntry> entries(int servers) {
        var entries = new ArrayList<ServerListEntry>();
        for (int i = 0; i < servers; i++) {
            var address = new InetSocketAddress("10." + (i >> 16) + "." + (i >> 8 & 255) + "." + (i & 255), 8080);
            entries.add(new ServerListEntry("s-%08x".formatted(i), address, BackendState.READY, "m2", "a", 3, 1, 1_796_000_000_000L));
        }
        return entries;
    }

    private static double medianCpuMs(Callable<?> work) throws Exception {
        for (int i = 0; i < WARMUP_ROUNDS; i++) {
            work.call();
        }
        double[] times = new double[ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            times[i] = cpuMs(work);
        }
        Arrays.sort(times);
        return times[ROUNDS / 2];
    }

    private static double cpuMs(Callable<?> work) throws Exception {
        long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        work.call();
        return (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - before) / 1e6;
    }
}

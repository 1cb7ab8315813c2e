package walkpost.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import walkpost.lab.process.Program;

/** Plays one soak from its seed: starts the stand-ins and the proxy, lets the clients work, and judges what was seen. */
public final class Soak {
    private static final int SERVERS = 6;
    private static final int SAMPLE_INTERVAL_MS = 100;
    private static final int STALL_CHECK_INTERVAL_MS = 5;
    /** The least time for which the soak's threads must not have run to count as held up. */
    private static final int MIN_STALL_MS = 100;

    private Soak() { }

    /**
     * What a soak came to.
     *
     * @param kept whether every rule was kept
     * @param plan what was played, for people
     * @param figures the figures, in one line
     * @param broken each broken rule
     */
    public record Result(boolean kept, String plan, String figures, List<String> broken) { }

    /**
     * Plays a soak.
     *
     * @param program the proxy under test
     * @param folder a new folder for the configuration and the log
     * @param lengthMs how long the sound clients send
     * @throws IOException if the stand-ins or the proxy can't be started
     */
    public static Result play(Program program, long seed, int lengthMs, Path folder) throws IOException, InterruptedException {
        SoakPlan plan = SoakPlan.of(seed, lengthMs);
        var record = new SoakRecord();
        String host = "127.0.%d.%d".formatted(20 + Math.floorMod(seed, 200), 1 + Math.floorMod(seed / 200, 200));
        Files.createDirectories(folder);
        var servers = new ArrayList<SoakServer>();
        try (var discovery = new SoakDiscovery(host);
                var proxy = new SoakProxy(program, folder.toAbsolutePath(), host, plan.sharedListener(), record)) {
            for (int i = 0; i < SERVERS; i++) {
                servers.add(new SoakServer(host, record));
            }
            List<InetSocketAddress> addresses = servers.stream().map(SoakServer::address).toList();
            discovery.start(SoakSettings.serverList(addresses).toString());
            proxy.start(SoakSettings.configuration(plan, proxy.address(), proxy.operatorAddress(), discovery.address(), addresses));
            run(plan, record, proxy);
        } finally {
            for (SoakServer server : servers) {
                server.close();
            }
        }
        SoakVerdict verdict = SoakVerdict.of(plan, record);
        Files.write(folder.resolve("broken.txt"), verdict.broken());
        return new Result(verdict.isKept(), plan.toString(), verdict.line(), verdict.broken());
    }

    private static void run(SoakPlan plan, SoakRecord record, SoakProxy proxy) throws InterruptedException {
        long startNs = System.nanoTime();
        Thread sampler = SoakThreads.start("sampler", () -> {
            while (true) {
                proxy.sample();
                SoakThreads.sleepMs(SAMPLE_INTERVAL_MS);
            }
        });
        Thread stallWatch = SoakThreads.start("stall-watch", () -> watchForStalls(record));
        Thread actor = SoakThreads.start("actor", () -> {
            for (SoakPlan.Event event : plan.events()) {
                SoakThreads.sleepUntil(startNs + TimeUnit.MILLISECONDS.toNanos(event.atMs()));
                proxy.act(event.act());
            }
        });
        new UnsoundClients(proxy.address(), plan, record).start();
        new SoundClients(proxy.address(), plan, record).run();
        actor.join();
        // The last requests get their time, and what is sent on after its client has left would be seen by then.
        SoakThreads.sleepMs(SoundClients.PATIENCE_MS + SoakSettings.LONGEST_DEADLINE_MS);
        proxy.sample();
        sampler.interrupt();
        stallWatch.interrupt();
        sampler.join();
    }

    private static void watchForStalls(SoakRecord record) throws InterruptedException {
        long lastNs = System.nanoTime();
        while (true) {
            SoakThreads.sleepMs(STALL_CHECK_INTERVAL_MS);
            long nowNs = System.nanoTime();
            if (nowNs - lastNs > TimeUnit.MILLISECONDS.toNanos(MIN_STALL_MS)) {
                record.stalls.add(new SoakRecord.Stall(lastNs, nowNs));
            }
            lastNs = nowNs;
        }
    }
}

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** Strangers connect to one proxy's fleet port, announce a long message, send most of it and stop. */
final class FleetPort {
    private static final int PROXIES = 3;
    private static final int SERVERS = 8;
    private static final int SECONDS = 30;
    /** Strangers at a time: as many as docs/fleet.md says that a member lets in. */
    private static final int STRANGERS = Integer.getInteger("strangers", 64);
    private static final int[] WAVES_AT_S = {6, 12, 18};
    /** The longest message that docs/fleet.md allows is of 1 MiB; the length stands in four bytes before it. */
    private static final int ANNOUNCED = (1 << 20) - 1;
    private static final int SENT = 1_040_000;
    private static final int ORDER_BODY = 60_000;

    public static void main(String[] args) throws Exception {
        int verdict;
        try (var rig = new Rig(Path.of(args[0]))) {
            verdict = play(rig);
        } catch (Exception e) {
            e.printStackTrace();
            verdict = 2;
        }
        System.exit(verdict);
    }

    private static int play(Rig rig) throws Exception {
        byte[] tile = new byte[40_000];
        new Random(3).nextBytes(tile);
        for (int i = 0; i < SERVERS; i++) {
            String id = "s-" + i;
            var server = new Rig.TileServer(rig, id, (request, connection) -> {
                rig.note("%s runs %s", id, request.header("X-Request-ID"));
                Rig.sleep(35);
                connection.getOutputStream().write(Rig.answer(200, "OK", "", tile));
                return true;
            });
            rig.discovery.set(id, server.address, i % 3 == 0 ? "full-box" : "small-box", "ready", 0);
        }
        String host = "127.0.0.1";
        List<Integer> ports = new ArrayList<>();
        List<Integer> fleetPorts = new ArrayList<>();
        for (int i = 0; i < PROXIES; i++) {
            ports.add(Rig.freePort(host));
            fleetPorts.add(Rig.freePort(host));
        }
        Files.writeString(rig.temp.resolve("fleet.key"), "0123456789abcdef0123456789abcdef");
        List<Process> proxies = new ArrayList<>();
        for (int i = 0; i < PROXIES; i++) {
            String name = "n" + (i + 1);
            Path file = rig.temp.resolve(name + "-fleet.toml");
            Files.writeString(file, """
                    format = 1
                    cluster = "gent"
                    bind = "%s:%d"
                    members = ["n1", "n2", "n3"]
                    seeds = ["%s:%d", "%s:%d"]
                    secret = "fleet.key"
                    """.formatted(host, fleetPorts.get(i), host, fleetPorts.get(0), host, fleetPorts.get(1)));
            Path config = rig.config(name, host + ":" + ports.get(i), PROXIES, i, "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}",
                    rig.discovery.list(-1));
            proxies.add(rig.startProxy(name, config, Map.of("PROXY_LISTEN", host + ":" + ports.get(i), "PROXY_DISCOVERY",
                    rig.discovery.address, "WALKPOST_FLEET", file.toString())));
        }
        for (int i = 0; i < PROXIES; i++) {
            rig.awaitReady(host, ports.get(i), proxies.get(i));
        }
        double begin = rig.ms();
        if (Rig.TROUBLE) {
            Rig.thread("strangers", () -> {
                for (int at : WAVES_AT_S) {
                    Rig.sleep(Math.max(0, at * 1_000 - (rig.ms() - begin)));
                    rig.say("%d strangers connect to the fleet port of n1", STRANGERS);
                    for (int i = 0; i < STRANGERS; i++) {
                        Rig.thread("stranger", () -> stranger(host, fleetPorts.get(0)));
                    }
                }
            });
        }
        int[][] counts = load(rig, host, ports, begin);
        int lost = 0;
        for (int i = 0; i < PROXIES; i++) {
            rig.noteLog("n" + (i + 1));
            rig.say("n%d: %s, answered in time %d, lost %d", i + 1, proxies.get(i).isAlive() ? "runs" : "has ended", counts[i][0], counts[i][1]);
            lost += counts[i][1];
        }
        return counts[1][0] < 500 ? 2 : lost > 0 ? 1 : 0;
    }

    private static void stranger(String host, int port) throws IOException {
        try (var socket = new Socket(host, port)) {
            var out = socket.getOutputStream();
            out.write(new byte[] {ANNOUNCED >>> 24, (byte) (ANNOUNCED >>> 16), (byte) (ANNOUNCED >>> 8), (byte) ANNOUNCED});
            out.write(new byte[SENT]);
            // Ends when the proxy closes the connection.
            socket.setSoTimeout(5_000);
            socket.getInputStream().read();
        }
    }

    /** Sends 200 requests a second to the proxies in turn; returns for each how many were answered in time and how many were lost. */
    private static int[][] load(Rig rig, String host, List<Integer> ports, double begin) throws Exception {
        var random = new Random(7);
        var kept = new AtomicInteger[PROXIES];
        var lost = new AtomicInteger[PROXIES];
        List<Queue<Rig.Client>> idle = new ArrayList<>();
        for (int i = 0; i < PROXIES; i++) {
            kept[i] = new AtomicInteger();
            lost[i] = new AtomicInteger();
            idle.add(new ConcurrentLinkedQueue<>());
        }
        var room = new Semaphore(900);
        for (int n = 0; n < SECONDS * 200; n++) {
            Rig.sleep(Math.max(0, n * 5 - (rig.ms() - begin)));
            int proxy = n % PROXIES;
            boolean order = random.nextDouble() < 0.18;
            String id = String.format("%08x", n);
            int timeoutMs = order ? 1_500 : 800;
            room.acquire();
            Rig.thread("client", () -> {
                double sentAt = 0;
                try {
                    Rig.Client client = idle.get(proxy).poll();
                    boolean fresh = client == null;
                    client = fresh ? new Rig.Client(host, ports.get(proxy), 1) : client;
                    try {
                        // The request is lost half a second after its time; 50 ms are the slack of the protocol page.
                        client.socket.setSoTimeout(timeoutMs + 550);
                        client.send(order ? Rig.reproOrder(id, timeoutMs, ORDER_BODY) : Rig.tileView(id, timeoutMs),
                                new byte[order ? ORDER_BODY : 0]);
                        sentAt = rig.ms();
                        int status = client.read().status;
                        rig.note("%s answered %d by n%d after %.0f ms", id, status, proxy + 1, rig.ms() - sentAt);
                        kept[proxy].incrementAndGet();
                        idle.get(proxy).add(client);
                    } catch (SocketTimeoutException e) {
                        rig.note("LOST: %s has no answer from n%d after %.0f ms, its time is %d ms", id, proxy + 1, rig.ms() - sentAt, timeoutMs);
                        lost[proxy].incrementAndGet();
                        client.close();
                    } catch (IOException e) {
                        // On a kept connection the proxy's close may have crossed the request; on a new one the request is lost.
                        rig.note("%s: %s from n%d, on a %s connection", id, e, proxy + 1, fresh ? "new" : "kept");
                        if (fresh && sentAt > 0) {
                            lost[proxy].incrementAndGet();
                        }
                        client.close();
                    }
                } catch (IOException e) {
                    rig.note("%s: could not connect to n%d", id, proxy + 1);
                } finally {
                    room.release();
                }
            });
        }
        room.acquire(900);
        int[][] counts = new int[PROXIES][];
        for (int i = 0; i < PROXIES; i++) {
            counts[i] = new int[] {kept[i].get(), lost[i].get()};
        }
        return counts;
    }
}

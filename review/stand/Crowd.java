import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Silent clients fill the proxy's places; of the others half close their connection up to 30 ms after their request. Not a case. */
final class Crowd {
    private static final int SILENT = Integer.getInteger("silent", 150);
    private static final int SECONDS = 40;
    private static final double GRACE_MS = 150;

    public static void main(String[] args) throws Exception {
        int late;
        try (var rig = new Rig(Path.of(args[0]))) {
            late = play(rig);
        }
        System.exit(late > 0 ? 1 : 0);
    }

    private static int play(Rig rig) throws Exception {
        var closedAt = new ConcurrentHashMap<String, Double>();
        var late = new AtomicInteger();
        var left = new AtomicInteger();
        var answered = new AtomicInteger();
        var other = new AtomicInteger();
        for (int i = 0; i < 8; i++) {
            String id = "s-" + i;
            var server = new Rig.TileServer(rig, id, head -> {
                String name = head.header("X-Request-ID");
                Double closed = closedAt.get(name);
                rig.note("%s gets the head of %s", id, name);
                if (closed != null && rig.ms() - closed > GRACE_MS) {
                    late.incrementAndGet();
                    rig.say("LATE: %s begins an attempt of %s %.0f ms after its client closed", id, name, rig.ms() - closed);
                }
            }, (request, connection) -> {
                Rig.sleep(35);
                connection.getOutputStream().write(Rig.answer(200, "OK", "", "order".getBytes()));
                return true;
            });
            rig.discovery.set(id, server.address, "full-box", "ready", 0);
        }
        String host = "127.0.0.1";
        int port = Rig.freePort(host);
        Path config = rig.config("n1", host + ":" + port, 1, 0, "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":256}", rig.discovery.list(-1));
        Process proxy = rig.startProxy("n1", config, Map.of("PROXY_LISTEN", host + ":" + port, "PROXY_DISCOVERY", rig.discovery.address));
        rig.awaitReady(host, port, proxy);
        for (int i = 0; i < SILENT && Rig.TROUBLE; i++) {
            Rig.thread("silent", () -> {
                while (proxy.isAlive()) {
                    try (var socket = new Socket()) {
                        socket.connect(new InetSocketAddress(host, port), 1_000);
                        socket.setSoTimeout(4_000);
                        socket.getInputStream().read();
                    } catch (IOException e) {
                        // The proxy has closed it, or 4 s have passed.
                    }
                    Rig.sleep(20);
                }
            });
        }
        Rig.sleep(1_000);
        var random = new Random(5);
        double begin = rig.ms();
        double at = 0;
        for (int n = 0; at < SECONDS * 1_000; n++) {
            at += -Math.log(1 - random.nextDouble()) * 5;
            Rig.sleep(Math.max(0, at - (rig.ms() - begin)));
            String id = String.format("%08x", n);
            boolean leaves = random.nextBoolean();
            double after = 30 * random.nextDouble();
            Rig.thread("client", () -> {
                try (var client = new Rig.Client(host, port, 2_500)) {
                    client.send(Rig.reproOrder(id, 1_500, 100), new byte[100]);
                    if (leaves) {
                        Rig.sleep(after);
                        client.close();
                        closedAt.put(id, rig.ms());
                        left.incrementAndGet();
                        rig.note("the client of %s has closed its connection", id);
                        return;
                    }
                    (client.read().status == 200 ? answered : other).incrementAndGet();
                } catch (IOException e) {
                    other.incrementAndGet();
                    rig.note("%s: %s", id, e);
                }
            });
        }
        Rig.sleep(3_000);
        rig.say("answered %d, otherwise %d, left %d, attempts that began over %.0f ms after the close %d", answered.get(), other.get(),
                left.get(), GRACE_MS, late.get());
        return late.get();
    }
}

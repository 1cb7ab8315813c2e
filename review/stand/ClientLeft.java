import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients with long orders leave early while the tile servers are slow, so that requests wait in the proxy. Not a case. */
final class ClientLeft {
    private static final int SECONDS = 45;
    private static final int BODY = Integer.getInteger("body", 200_000);
    private static final int SERVERS = 8;
    /** Requests a second, and half as many again in the burst. */
    private static final double RATE = Double.parseDouble(System.getProperty("rate", "200"));
    /** From second 10 to 40 a quarter of the tile servers is slower by this, and the burst runs. */
    private static final double SLOWER = Double.parseDouble(System.getProperty("slow", "6"));
    /** The rule's 0.1 s, extended by the 50 ms of the protocol page. */
    private static final double GRACE_MS = 150;

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
        var random = new Random(7);
        var closedAt = new ConcurrentHashMap<String, Double>();
        var late = new AtomicInteger();
        var lateRuns = new AtomicInteger();
        var gone = new AtomicInteger();
        var served = new AtomicInteger();
        var other = new AtomicInteger();
        for (int i = 0; i < SERVERS; i++) {
            String id = "s-" + i;
            double speed = i % 3 == 0 ? 0.97 : 0.6;
            boolean bad = i >= SERVERS - SERVERS / 4;
            var core = new Semaphore(1, true);
            var server = new Rig.TileServer(rig, id, head -> {
                String name = head.header("X-Request-ID");
                Double closed = closedAt.get(name);
                rig.note("%s gets the head of %s", id, name);
                if (closed != null && rig.ms() - closed > GRACE_MS) {
                    late.incrementAndGet();
                    rig.say("LATE: %s begins an attempt of %s %.0f ms after its client closed", id, name, rig.ms() - closed);
                }
            }, (request, connection) -> {
                String name = request.header("X-Request-ID");
                core.acquire();
                rig.note("%s runs %s", id, name);
                double workMs;
                synchronized (random) {
                    workMs = (15 + 12 * random.nextDouble()) / speed * (bad && troubled(rig) ? SLOWER : 1);
                }
                Rig.sleep(workMs);
                core.release();
                Rig.sleep(27);
                connection.getOutputStream().write(Rig.answer(200, "OK", "", ("order " + name).getBytes()));
                return true;
            });
            rig.discovery.set(id, server.address, i % 3 == 0 ? "full-box" : "small-box", "ready", 0);
        }
        String host = "127.0.0.1";
        int port = Rig.freePort(host);
        Path config = rig.config("n1", host + ":" + port, 1, 0, "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}", rig.discovery.list(-1));
        Process proxy = rig.startProxy("n1", config, Map.of("PROXY_LISTEN", host + ":" + port, "PROXY_DISCOVERY", rig.discovery.address));
        rig.awaitReady(host, port, proxy);
        begin = rig.ms();
        byte[] body = new byte[BODY];
        var room = new Semaphore(300);
        double at = 0;
        for (int n = 0; at < SECONDS * 1_000; n++) {
            boolean leaves;
            double leavesAfter;
            synchronized (random) {
                at += -Math.log(1 - random.nextDouble()) * 1_000 / (RATE * (troubled(rig) ? 1.5 : 1));
                leaves = Rig.TROUBLE && random.nextDouble() < 0.3;
                leavesAfter = 5 + 40 * random.nextDouble();
            }
            Rig.sleep(Math.max(0, at - (rig.ms() - begin)));
            String id = String.format("%08x", n);
            room.acquire();
            Rig.thread("client", () -> {
                try (var client = new Rig.Client(host, port, 3_000)) {
                    client.send(Rig.reproOrder(id, 1_500, BODY), body);
                    if (leaves) {
                        Rig.sleep(leavesAfter);
                        client.close();
                        closedAt.put(id, rig.ms());
                        gone.incrementAndGet();
                        rig.note("the client of %s has closed its connection", id);
                        return;
                    }
                    Rig.Message answer = client.read();
                    (answer.status == 200 ? served : other).incrementAndGet();
                    rig.note("%s answered %d", id, answer.status);
                } catch (IOException e) {
                    other.incrementAndGet();
                    rig.note("%s: %s", id, e);
                } finally {
                    room.release();
                }
            });
        }
        room.acquire(300);
        rig.noteLog("n1");
        rig.say("served %d, not served %d, left %d, attempts that began over %.0f ms after the close %d", served.get(), other.get(), gone.get(),
                GRACE_MS, late.get());
        if (served.get() < 300) {
            return 2;
        }
        return late.get() > 0 ? 1 : 0;
    }

    private static volatile double begin;

    private static boolean troubled(Rig rig) {
        double seconds = (rig.ms() - begin) / 1_000;
        return Rig.TROUBLE && seconds > 10 && seconds < 40;
    }
}

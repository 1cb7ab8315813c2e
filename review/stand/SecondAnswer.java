import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** Tile servers now and then send a second answer some milliseconds after the first. */
final class SecondAnswer {
    private static final double SHARE = 0.02;
    private static final int SECONDS = 40;

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
        var seconds = new AtomicInteger();
        for (int i = 0; i < 7; i++) {
            String id = "s-" + i;
            var server = new Rig.TileServer(rig, id, (request, connection) -> {
                String name = request.header("X-Request-ID");
                double workMs;
                boolean second;
                double laterMs;
                synchronized (random) {
                    workMs = 13 + 10 * random.nextDouble() + 11 + 9 * random.nextDouble();
                    second = Rig.TROUBLE && random.nextDouble() < SHARE;
                    laterMs = 2 + 6 * random.nextDouble();
                }
                rig.note("%s has run %s", id, name);
                Rig.sleep(workMs);
                byte[] answer = Rig.answer(200, "OK", "", ("tile of " + name).getBytes(StandardCharsets.UTF_8));
                connection.getOutputStream().write(answer);
                if (second) {
                    Rig.sleep(laterMs);
                    seconds.incrementAndGet();
                    rig.note("%s sends a second answer to %s, %.1f ms after the first", id, name, laterMs);
                    connection.getOutputStream().write(answer);
                }
                return true;
            });
            rig.discovery.set(id, server.address, i % 3 == 0 ? "full-box" : "small-box", "ready", 0);
        }
        String host = "127.0.0.1";
        int port = Rig.freePort(host);
        Path config = rig.config("n1", host + ":" + port, 1, 0, "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}", rig.discovery.list(-1));
        Process proxy = rig.startProxy("n1", config, Map.of("PROXY_LISTEN", host + ":" + port, "PROXY_DISCOVERY", rig.discovery.address));
        rig.awaitReady(host, port, proxy);

        var idle = new ConcurrentLinkedQueue<Rig.Client>();
        var room = new Semaphore(200);
        var served = new AtomicInteger();
        var other = new AtomicInteger();
        var foreign = new AtomicInteger();
        long begin = System.nanoTime();
        double at = 0;
        for (int n = 0; at < SECONDS * 1_000; n++) {
            synchronized (random) {
                at += -Math.log(1 - random.nextDouble()) * 5;
            }
            Rig.sleep(Math.max(0, at - (System.nanoTime() - begin) / 1e6));
            String id = String.format("%08x", n);
            room.acquire();
            Rig.thread("client", () -> {
                try {
                    Rig.Client client = idle.poll();
                    client = client != null ? client : new Rig.Client(host, port, 1_500);
                    try {
                        client.send(Rig.tileView(id, 800), new byte[0]);
                        Rig.Message answer = client.read();
                        if (answer.status != 200) {
                            other.incrementAndGet();
                            rig.note("%s answered %d", id, answer.status);
                        } else if (answer.text().equals("tile of " + id)) {
                            served.incrementAndGet();
                        } else {
                            foreign.incrementAndGet();
                            rig.say("WRONG: %s was answered 200 with '%s'", id, answer.text());
                        }
                        idle.add(client);
                    } catch (IOException e) {
                        other.incrementAndGet();
                        rig.note("%s: %s", id, e);
                        client.close();
                    }
                } finally {
                    room.release();
                }
            });
        }
        room.acquire(200);
        rig.noteLog("n1");
        rig.say("served %d, not served %d, second answers %d, served with the answer to another request %d", served.get(), other.get(),
                seconds.get(), foreign.get());
        if (served.get() < 1_000) {
            return 2;
        }
        return foreign.get() > 0 ? 1 : 0;
    }
}

import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Drains after a new configuration, when the discovery that it names is crowded at first. */
final class ReloadCase {
    private static final double CROWDED_S = 3.5;
    private static volatile double crowdedUntil;
    private static volatile Stand.TileServer drained;
    private static volatile double signalAt;
    private static final AtomicInteger LATE = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        Stand.begin();
        Stand.Handler handler = (server, request, connection, out) -> {
            String id = request.header("x-request-id");
            double since = Stand.now() - signalAt;
            Stand.note("%s runs %s", server.id, id);
            if (server == drained && since > 4.4) {
                LATE.incrementAndGet();
                Stand.note("LATE: %s got %s %.3f s after the signal", server.id, id, since);
            }
            Stand.sleep(0.02);
            out.write(Stand.ok("tile " + id));
        };
        var servers = List.of(new Stand.TileServer("s-1", handler), new Stand.TileServer("s-2", handler));
        var discovery = new Stand.Discovery(servers);
        discovery.hook = (uri, out) -> {
            if (Stand.now() >= crowdedUntil) {
                return false;
            }
            out.write(Stand.bytes("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"));
            Stand.note("discovery rejects the call");
            return true;
        };
        var proxy = new Stand.Proxy("n1");
        String settings = Stand.settings(1, Stand.TILE_VIEW + "," + Stand.REPRO_ORDER);
        String known = discovery.full();
        ServerSocket address = discovery.socket;
        proxy.configure(discovery.address(), known, settings);
        proxy.start();
        proxy.awaitReady();
        var served = new AtomicInteger();
        var resting = new ConcurrentLinkedQueue<Stand.Client>();
        Stand.thread("load", () -> {
            while (true) {
                Stand.thread("client", () -> {
                    Stand.Client client = resting.poll();
                    if (client == null) {
                        client = new Stand.Client(proxy.port);
                    }
                    client.send(Stand.tileView(Stand.newId(), 1600));
                    Stand.Message answer = client.read();
                    if (answer.status() == 200) {
                        served.incrementAndGet();
                    } else {
                        Stand.note("answer %d", answer.status());
                    }
                    resting.add(client);
                });
                Stand.sleep(0.02);
            }
        });
        int broken = 0;
        int rounds = 9;
        for (int round = 1; round <= rounds; round++) {
            var server = new Stand.TileServer("r-" + round, handler);
            discovery.add(server);
            Stand.sleep(2.5);
            if (server.requests.get() == 0) {
                Stand.say("round %d: the new server is not used", round);
                continue;
            }
            LATE.set(0);
            ServerSocket next = discovery.open();
            if (Stand.TROUBLE) {
                crowdedUntil = Stand.now() + CROWDED_S;
            }
            proxy.configure("127.0.0.1:" + next.getLocalPort(), known, settings);
            signalAt = Stand.now();
            proxy.signal("HUP");
            discovery.close(address);
            address = next;
            Stand.sleep(0.5);
            drained = server;
            discovery.change(server, "draining", 0);
            Stand.note("%s drains", server.id);
            Stand.sleep(7);
            discovery.change(server, "gone", 0);
            Stand.say("round %d: %d sends to the draining server later than 4.4 s after the signal", round, LATE.get());
            broken += LATE.get() > 0 ? 1 : 0;
        }
        Stand.say("%d requests served; the rule was broken in %d of %d rounds", served.get(), broken, rounds);
        Stand.end(served.get() < 100 ? 2 : broken > 0 ? 1 : 0);
    }
}

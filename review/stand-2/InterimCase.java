import java.io.IOException;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Discovery sends an interim answer (1xx) ahead of each final one; a drain must be obeyed all the same. */
final class InterimCase {
    private static volatile double drainAt = Double.MAX_VALUE;
    /** The latest time at which the change counts as told (6 s), the grace of a drain (0.3 s) and the slack of the sockets (0.05 s). */
    private static final double BOUND_S = 6.35;

    public static void main(String[] args) throws Exception {
        Stand.begin();
        var late = new AtomicInteger();
        var drained = new Stand.TileServer[1];
        Stand.Handler handler = (server, request, connection, out) -> {
            String id = request.header("x-request-id");
            double since = Stand.now() - drainAt;
            Stand.note("%s runs %s", server.id, id);
            if (server == drained[0] && since > BOUND_S + 0.05) {
                late.incrementAndGet();
                Stand.note("LATE: %s got %s %.3f s after its drain", server.id, id, since);
            }
            Stand.sleep(0.02);
            out.write(Stand.ok("tile " + id));
        };
        drained[0] = new Stand.TileServer("s-3", handler);
        var discovery = new Stand.Discovery(List.of(new Stand.TileServer("s-1", handler), new Stand.TileServer("s-2", handler),
                drained[0]));
        if (Stand.TROUBLE) {
            discovery.hook = (uri, out) -> {
                out.write(Stand.bytes("HTTP/1.1 100 Continue\r\n\r\n"));
                return false;
            };
        }
        var proxy = new Stand.Proxy("n1");
        proxy.configure(discovery.address(), discovery.full(), Stand.settings(1, Stand.TILE_VIEW + "," + Stand.REPRO_ORDER));
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
                Stand.sleep(0.03);
            }
        });
        Stand.sleep(4);
        discovery.change(drained[0], "draining", 0);
        drainAt = Stand.now();
        Stand.note("s-3 drains");
        Stand.sleep(20);
        Stand.say("%d sends to the tile server that drains, later than %.2f s after its drain; %d requests served", late.get(), BOUND_S,
                served.get());
        Stand.end(served.get() < 100 ? 2 : late.get() > 0 ? 1 : 0);
    }
}

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Clients send some orders at once on one connection; each order must get its final answer. */
final class PipelineCase {
    private static final int ORDERS = 8;
    private static final int BODY_BYTES = 30_000;
    private static final int ROUNDS = 20;
    private static final int TIMEOUT_MS = 2_500;

    public static void main(String[] args) throws Exception {
        Stand.begin();
        Stand.Handler handler = (server, request, connection, out) -> {
            Stand.note("%s runs %s", server.id, request.header("x-request-id"));
            Stand.sleep(0.04);
            out.write(Stand.ok("order " + request.header("x-request-id")));
        };
        var discovery = new Stand.Discovery(List.of(new Stand.TileServer("s-1", handler), new Stand.TileServer("s-2", handler),
                new Stand.TileServer("s-3", handler)));
        var proxy = new Stand.Proxy("n1");
        proxy.configure(discovery.address(), discovery.full(), Stand.settings(1, Stand.TILE_VIEW + "," + Stand.REPRO_ORDER));
        proxy.start();
        proxy.awaitReady();
        int lost = 0;
        int answered = 0;
        for (int round = 1; round <= ROUNDS; round++) {
            var ids = new ArrayList<String>();
            try (var client = new Stand.Client(proxy.port)) {
                double writtenAt = 0;
                if (Stand.TROUBLE) {
                    var all = new ByteArrayOutputStream();
                    for (int i = 0; i < ORDERS; i++) {
                        ids.add(Stand.newId());
                        all.write(Stand.reproOrder(ids.get(i), TIMEOUT_MS, "x".repeat(BODY_BYTES)));
                    }
                    client.send(all.toByteArray());
                    writtenAt = Stand.now();
                    Stand.note("round %d: %d orders written, the last one is %s", round, ORDERS, ids.get(ORDERS - 1));
                }
                int i = 0;
                try {
                    for (; i < ORDERS; i++) {
                        if (!Stand.TROUBLE) {
                            ids.add(Stand.newId());
                            client.send(Stand.reproOrder(ids.get(i), TIMEOUT_MS, "x".repeat(BODY_BYTES)));
                            writtenAt = Stand.now();
                        }
                        Stand.Message answer = client.read();
                        Stand.note("round %d: %s is answered %d", round, ids.get(i), answer.status());
                        answered++;
                    }
                } catch (IOException e) {
                    double afterS = Stand.now() - writtenAt;
                    Stand.note("round %d: the proxy ends the connection %.3f s after all was written: %s", round, afterS, e);
                    // An order that was written a moment before the close may not have been read; none was here.
                    if (afterS > 0.05) {
                        lost += ORDERS - i;
                        ids.subList(i, ids.size()).forEach(id -> Stand.note("LOST: %s", id));
                    }
                }
            }
            Stand.sleep(0.3);
        }
        Stand.say("%d orders answered, %d lost: their connection was ended without an answer to them", answered, lost);
        Stand.end(answered < ROUNDS ? 2 : lost > 0 ? 1 : 0);
    }
}

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;

/** Idle clients fill the descriptors; a sound client's request must be answered, or its connection shut, in time. */
final class CrowdCase {
    private static final int SOCKETS = 256;
    private static final int CROWD = 300;
    private static final int TIMEOUT_MS = 1_600;
    /** An answer may come half a second after its time; after that it is lost. */
    private static final int WAIT_MS = TIMEOUT_MS + 500 + 100;
    private static final double LOAD_PER_S = 60;

    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger REFUSED = new AtomicInteger();
    private static final AtomicInteger SHUT = new AtomicInteger();
    private static final AtomicInteger UNANSWERED = new AtomicInteger();
    private static final ConcurrentLinkedDeque<Stand.Client> RESTING = new ConcurrentLinkedDeque<>();

    public static void main(String[] args) throws Exception {
        Stand.begin();
        Stand.Handler handler = (server, request, connection, out) -> {
            Stand.note("%s runs %s", server.id, request.header("x-request-id"));
            Stand.sleep(0.03);
            out.write(Stand.ok("tile " + request.header("x-request-id")));
        };
        var servers = new ArrayList<Stand.TileServer>();
        for (int i = 1; i <= 6; i++) {
            servers.add(new Stand.TileServer("s-" + i, handler));
        }
        var discovery = new Stand.Discovery(servers);
        var proxy = new Stand.Proxy("n1");
        proxy.sockets = SOCKETS;
        proxy.limit = SOCKETS;
        proxy.configure(discovery.address(), discovery.full(), Stand.settings(1, Stand.TILE_VIEW + "," + Stand.REPRO_ORDER));
        proxy.start();
        proxy.awaitReady();
        Stand.thread("load", () -> {
            while (true) {
                Stand.thread("client", () -> request(proxy.port));
                Stand.sleep(1 / LOAD_PER_S);
            }
        });
        Stand.sleep(3);
        Stand.note("before the crowd: %d served, %d unanswered", SERVED.get(), UNANSWERED.get());
        if (Stand.TROUBLE) {
            for (int i = 0; i < CROWD; i++) {
                Stand.thread("idle", () -> idle(proxy.port));
            }
        }
        int most = 0;
        for (double end = Stand.now() + 45; Stand.now() < end; Stand.sleep(0.1)) {
            int open = descriptors(proxy.process.pid());
            most = Math.max(most, open);
        }
        Stand.say("%d served, %d refused or failed, %d shut unread, %d neither answered nor shut; at most %d descriptors of %d",
                SERVED.get(), REFUSED.get(), SHUT.get(), UNANSWERED.get(), most, SOCKETS);
        Stand.end(SERVED.get() < 100 ? 2 : UNANSWERED.get() > 0 ? 1 : 0);
    }

    /** An idle client: sends nothing, leaves after 3 s and comes again. */
    private static void idle(int port) throws IOException {
        while (true) {
            var client = new Stand.Client(port);
            Stand.sleep(3);
            client.close();
        }
    }

    /** A sound client: uses a connection that it has, and opens one if all are busy or the one that it had is closed. */
    private static void request(int port) throws IOException {
        String id = Stand.newId();
        Stand.Client client = RESTING.pollLast();
        while (true) {
            boolean fresh = client == null;
            try {
                if (fresh) {
                    client = new Stand.Client(port);
                }
                client.socket.setSoTimeout(WAIT_MS);
                client.send(Stand.tileView(id, TIMEOUT_MS));
                int status = client.read().status();
                (status == 200 ? SERVED : REFUSED).incrementAndGet();
                Stand.note("client of %s gets %d", id, status);
                RESTING.add(client);
                return;
            } catch (SocketTimeoutException e) {
                UNANSWERED.incrementAndGet();
                Stand.note("UNANSWERED: %s on a %s connection: neither an answer nor a close in %d ms", id, fresh ? "new" : "kept", WAIT_MS);
                client.close();
                return;
            } catch (IOException e) {
                if (client != null) {
                    client.close();
                }
                client = null;
                if (fresh) {
                    SHUT.incrementAndGet();
                    Stand.note("the new connection of %s is shut", id);
                    return;
                }
            }
        }
    }

    private static int descriptors(long pid) {
        try (var files = Files.list(Path.of("/proc/" + pid + "/fd"))) {
            return (int) files.count();
        } catch (IOException | RuntimeException e) {
            return 0;
        }
    }
}

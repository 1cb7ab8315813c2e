import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A quarter of the tile servers hang for a while; clients send long orders, whole, and wait for their answer. */
final class HangInBody {
    private static final int SERVERS = 8;
    private static final int SECONDS = 42;
    private static final int[] HANGS_FROM_S = {6, 18, 30};
    private static final int HANG_S = 8;
    private static final int BODY = Integer.getInteger("body", 8_000_000);
    /** A client sends its body in pieces, at this many bytes a second. */
    private static final int CLIENT_BYTES_PER_S = Integer.getInteger("speed", 4_000_000);
    private static final int PIECE = 64 * 1024;
    /** One in so many requests is a long order. */
    private static final int LONG_EVERY = Integer.getInteger("every", 6);
    private static final int TIMEOUT_MS = 1_500;
    /** A client waits for so long, though the request is lost half a second after its time. */
    private static final int CLIENT_WAITS_MS = 10_000;

    private static volatile double begin = Double.MAX_VALUE / 4;

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

    /** Returns whether the bad tile servers hang now: they neither read nor write, and their connections stay open. */
    private static boolean hung(Rig rig) {
        double seconds = (rig.ms() - begin) / 1_000;
        return Rig.TROUBLE && Arrays.stream(HANGS_FROM_S).anyMatch(from -> seconds > from && seconds < from + HANG_S);
    }

    private static String tileServer(Rig rig, String id, boolean bad) throws IOException {
        ServerSocket socket = rig.listen("127.0.0.1", 128);
        Rig.thread(id, () -> {
            while (true) {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                Rig.thread(id + "-connection", () -> {
                    try (connection) {
                        var in = new BufferedInputStream(new Hanging(rig, bad, connection.getInputStream()), 64 * 1024);
                        while (true) {
                            Rig.Message request = Rig.readHead(in);
                            String name = request.header("X-Request-ID");
                            if (name.startsWith("b")) {
                                rig.note("%s gets the head of %s", id, name);
                            }
                            Rig.readBody(in, request);
                            if (name.startsWith("b")) {
                                rig.note("%s runs %s", id, name);
                            }
                            Rig.sleep(35);
                            waitWhileHung(rig, bad);
                            connection.getOutputStream().write(Rig.answer(200, "OK", "", ("done " + name).getBytes(StandardCharsets.UTF_8)));
                        }
                    }
                });
            }
        });
        return "127.0.0.1:" + socket.getLocalPort();
    }

    private static void waitWhileHung(Rig rig, boolean bad) {
        while (bad && hung(rig)) {
            Rig.sleep(20);
        }
    }

    /** Reads nothing while its tile server hangs. */
    private static final class Hanging extends InputStream {
        private final Rig rig;
        private final boolean bad;
        private final InputStream in;

        Hanging(Rig rig, boolean bad, InputStream in) {
            this.rig = rig;
            this.bad = bad;
            this.in = in;
        }

        @Override
        public int read() throws IOException {
            waitWhileHung(rig, bad);
            return in.read();
        }

        @Override
        public int read(byte[] into, int offset, int length) throws IOException {
            waitWhileHung(rig, bad);
            int read = in.read(into, offset, length);
            waitWhileHung(rig, bad);
            return read;
        }
    }

    private static int play(Rig rig) throws Exception {
        for (int i = 0; i < SERVERS; i++) {
            boolean bad = i < SERVERS / 4;
            String id = "s-" + i;
            rig.discovery.set(id, tileServer(rig, id, bad), i % 3 == 0 ? "full-box" : "small-box", "ready", 0);
        }
        String host = "127.0.0.1";
        int port = Rig.freePort(host);
        Path config = rig.config("n1", host + ":" + port, 1, 0, "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}", rig.discovery.list(-1));
        Process proxy = rig.startProxy("n1", config, Map.of("PROXY_LISTEN", host + ":" + port, "PROXY_DISCOVERY", rig.discovery.address));
        rig.awaitReady(host, port, proxy);

        byte[] body = new byte[BODY];
        new Random(3).nextBytes(body);
        var answered = new AtomicInteger();
        var lost = new AtomicInteger();
        var small = new AtomicInteger();
        var smallLost = new AtomicInteger();
        var room = new Semaphore(200);
        begin = rig.ms();
        for (int n = 0; n < SECONDS * 50; n++) {
            Rig.sleep(Math.max(0, n * 20 - (rig.ms() - begin)));
            boolean big = n % LONG_EVERY == 0;
            String id = String.format(big ? "b%07x" : "a%07x", n);
            room.acquire();
            Rig.thread("client", () -> {
                double sentAt = 0;
                try (var client = new Rig.Client(host, port, CLIENT_WAITS_MS)) {
                    client.send(big ? Rig.reproOrder(id, TIMEOUT_MS, BODY) : Rig.tileView(id, 800), new byte[0]);
                    double beganAt = rig.ms();
                    for (int sent = 0; big && sent < BODY; sent += PIECE) {
                        client.out().write(body, sent, Math.min(PIECE, BODY - sent));
                        Rig.sleep(Math.max(0, 1_000.0 * sent / CLIENT_BYTES_PER_S - (rig.ms() - beganAt)));
                    }
                    sentAt = rig.ms();
                    if (big) {
                        rig.note("%s is written whole", id);
                    }
                    int status = client.read().status;
                    double ms = rig.ms() - sentAt;
                    if (big) {
                        rig.note("%s answered %d after %.0f ms", id, status, ms);
                    }
                    check(rig, id, big ? TIMEOUT_MS : 800, ms, "answered " + status, big ? answered : small, big ? lost : smallLost);
                } catch (SocketTimeoutException e) {
                    if (sentAt > 0) {
                        check(rig, id, big ? TIMEOUT_MS : 800, rig.ms() - sentAt, "no answer", big ? answered : small, big ? lost : smallLost);
                    } else {
                        rig.note("%s: not written whole", id);
                    }
                } catch (IOException e) {
                    if (sentAt > 0) {
                        lost.incrementAndGet();
                        rig.say("LOST: %s was written whole; after %.0f ms: %s", id, rig.ms() - sentAt, e);
                    } else {
                        rig.note("%s: not written whole: %s", id, e);
                    }
                } finally {
                    room.release();
                }
            });
        }
        room.acquire(200);
        rig.noteLog("n1");
        rig.say("long orders: answered in time %d, lost %d; tile views: answered in time %d, lost %d", answered.get(), lost.get(), small.get(),
                smallLost.get());
        if (answered.get() < 15) {
            return 2;
        }
        return lost.get() > 0 ? 1 : 0;
    }

    /** A request has its final answer half a second after its time at the latest, and 50 ms more. */
    private static void check(Rig rig, String id, int timeoutMs, double ms, String what, AtomicInteger kept, AtomicInteger broken) {
        if (ms <= timeoutMs + 550) {
            kept.incrementAndGet();
        } else {
            broken.incrementAndGet();
            rig.say("LOST: %s was written whole; %s after %.0f ms, its time is %d ms", id, what, ms, timeoutMs);
        }
    }
}

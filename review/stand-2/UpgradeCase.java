import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** An upgrade while discovery is overbooked: the new process must not send to a tile server that drained before. */
final class UpgradeCase {
    private static volatile double yesAt = Double.MAX_VALUE;
    private static volatile double crowdedUntil;
    private static final AtomicInteger LATE = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        Stand.begin();
        var old = new Stand.TileServer[1];
        Stand.Handler handler = (server, request, connection, out) -> {
            String id = request.header("x-request-id");
            double since = Stand.now() - yesAt;
            Stand.note("%s runs %s", server.id, id);
            if (server == old[0] && since > 2.4) {
                LATE.incrementAndGet();
                Stand.note("LATE: %s got %s %.3f s after the yes", server.id, id, since);
            }
            Stand.sleep(0.02);
            out.write(Stand.ok("tile " + id));
        };
        old[0] = new Stand.TileServer("s-4", handler);
        var discovery = new Stand.Discovery(List.of(new Stand.TileServer("s-1", handler), new Stand.TileServer("s-2", handler),
                new Stand.TileServer("s-3", handler), old[0]));
        discovery.hook = (uri, out) -> {
            if (Stand.now() >= crowdedUntil) {
                return false;
            }
            Stand.sleep(2);
            Stand.note("discovery rejects a call that has waited too long");
            out.write(Stand.bytes("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"));
            return true;
        };
        var proxy = new Stand.Proxy("n1");
        proxy.configure(discovery.address(), discovery.full(), Stand.settings(1, Stand.TILE_VIEW + "," + Stand.REPRO_ORDER));
        Process platform = new ProcessBuilder(Stand.root().resolve("review/stand-2/target/platform").toString(),
                Integer.toString(proxy.port)).directory(Stand.root().toFile()).start();
        Stand.started(platform);
        Stand.thread("log", () -> {
            for (var log = platform.errorReader();;) {
                String line = log.readLine();
                if (line == null) {
                    return;
                }
                Stand.note("n1: %s", line);
            }
        });
        int first = start(platform, proxy, Stand.freePort());
        ProcessHandle firstProcess = ProcessHandle.of(first).orElseThrow();
        proxy.awaitReady();
        var served = new AtomicInteger();
        var resting = new ConcurrentLinkedQueue<Stand.Client>();
        Stand.thread("load", () -> {
            while (true) {
                Stand.thread("client", () -> {
                    Stand.Client client = resting.poll();
                    try {
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
                        if (!"close".equalsIgnoreCase(answer.header("connection"))) {
                            resting.add(client);
                        } else {
                            client.close();
                        }
                    } catch (IOException e) {
                        if (client != null) {
                            client.close();
                        }
                    }
                });
                Stand.sleep(0.02);
            }
        });
        Stand.sleep(3);
        long before = old[0].requests.get();
        discovery.change(old[0], "draining", 0);
        Stand.note("s-4 drains");
        Stand.sleep(5);
        long after = old[0].requests.get();
        Stand.sleep(2);
        if (before == 0 || old[0].requests.get() != after) {
            Stand.say("the first process does not obey the drain: %d, %d, %d", before, after, old[0].requests.get());
            Stand.end(2);
        }
        double startedAt = Stand.now();
        if (Stand.TROUBLE) {
            crowdedUntil = startedAt + 3;
        }
        int operator = Stand.freePort();
        int second = start(platform, proxy, operator);
        while (!call(operator, "readyz").startsWith("SUCCESS")) {
            if (Stand.now() > startedAt + 6) {
                Stand.say("no yes within 6 s");
                Stand.end(2);
            }
            Stand.sleep(0.05);
        }
        yesAt = Stand.now();
        Stand.say("the new process says yes after %.3f s", yesAt - startedAt);
        signal(first, "TERM");
        Stand.sleep(3.2);
        // A process that has ended by itself is not killed: its id may be another process's by now.
        if (firstProcess.isAlive()) {
            firstProcess.destroyForcibly();
        }
        Stand.sleep(8);
        Stand.say("%d sends to the tile server that drains, later than 2.4 s after the yes; %d requests served", LATE.get(), served.get());
        signal(second, "TERM");
        Stand.sleep(0.2);
        Stand.end(served.get() < 100 ? 2 : LATE.get() > 0 ? 1 : 0);
    }

    /** Starts a process of the proxy on the platform's socket; returns its process id. */
    private static int start(Process platform, Stand.Proxy proxy, int operator) throws IOException {
        Path tmp = Files.createDirectories(proxy.folder.resolve("tmp"));
        var commands = new PrintStream(platform.getOutputStream(), true);
        commands.println("PROXY_NAME=" + proxy.name + " PROXY_LISTEN=127.0.0.1:" + proxy.port + " PROXY_LISTEN_FD=0 PROXY_OPERATOR=127.0.0.1:"
                + operator + " PROXY_CONFIG=" + proxy.config + " TMPDIR=" + tmp + "; export PROXY_NAME PROXY_LISTEN PROXY_LISTEN_FD"
                + " PROXY_OPERATOR PROXY_CONFIG TMPDIR; " + Stand.runLine());
        if (answers == null) {
            answers = new BufferedReader(new InputStreamReader(platform.getInputStream()));
        }
        int pid = Integer.parseInt(answers.readLine());
        Stand.note("n1 started, process %d, operator endpoint %d", pid, operator);
        return pid;
    }

    private static BufferedReader answers;

    private static String call(int operator, String line) {
        try (var caller = new Stand.Client(operator)) {
            caller.send(Stand.bytes(line + "\n"));
            String answer = Stand.readLine(caller.in());
            Stand.note("%s: %s", line, answer);
            return answer;
        } catch (IOException e) {
            return "";
        }
    }

    private static void signal(int pid, String signal) throws Exception {
        Stand.note("process %d gets %s", pid, signal);
        new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + pid + " 2>/dev/null").start().waitFor();
    }
}

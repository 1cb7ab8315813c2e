import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/** Stand-ins for discovery, tile servers, clients and the platform, shared by the cases. Each case runs in a process of its own. */
final class Stand {
    /** False with TROUBLE=0: the case runs without its disruption. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final long START_NS = System.nanoTime();
    private static final List<Process> PROCESSES = new ArrayList<>();
    private static Path temp;
    private static PrintWriter record;
    private static final AtomicLong IDS = new AtomicLong();

    private Stand() { }

    static double now() {
        return (System.nanoTime() - START_NS) / 1e9;
    }

    static void sleep(double s) {
        try {
            TimeUnit.MICROSECONDS.sleep((long) Math.max(0, s * 1e6));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Opens the record and makes sure that every process ends, whatever happens; after 118 s the case counts as one that can't run. */
    static void begin() throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(System.getenv("RECORD"))), false);
        temp = Files.createTempDirectory("walkpost-review");
        Runtime.getRuntime().addShutdownHook(new Thread(Stand::cleanUp));
        thread("limit", () -> {
            sleep(115);
            note("the case took too long");
            end(2);
        });
    }

    private static void cleanUp() {
        synchronized (PROCESSES) {
            // A helper that has started processes of its own ends them at the end of its input.
            PROCESSES.forEach(process -> {
                try {
                    process.getOutputStream().close();
                    process.waitFor(100, TimeUnit.MILLISECONDS);
                } catch (IOException | InterruptedException e) {
                    // It is killed below.
                }
                process.destroyForcibly();
            });
        }
        synchronized (Stand.class) {
            record.flush();
        }
        try (var files = Files.walk(temp)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException | RuntimeException e) {
            // What is left lies in the folder for temporary files.
        }
    }

    /** Writes a line to the record. */
    static void note(String format, Object... values) {
        String line = String.format(Locale.ROOT, "%8.3f ", now()) + String.format(Locale.ROOT, format, values);
        synchronized (Stand.class) {
            record.println(line);
        }
    }

    /** The same, on standard output as well. */
    static void say(String format, Object... values) {
        note(format, values);
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    static void end(int status) {
        say("exit %d", status);
        System.exit(status);
    }

    static Thread thread(String name, Task task) {
        var thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (IOException e) {
                // A connection or a socket has ended.
            } catch (Exception e) {
                note("thread %s: %s", name, e);
            }
        }, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Task {
        void run() throws Exception;
    }

    static InetAddress loopback() throws IOException {
        return InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
    }

    static int freePort() throws IOException {
        try (var socket = new ServerSocket(0, 1, loopback())) {
            return socket.getLocalPort();
        }
    }

    static String newId() {
        return String.format("%016x", 0x9b1f03aa00000000L + IDS.incrementAndGet());
    }

    /** The root of the checkout. */
    static Path root() {
        return Path.of(System.getenv("ROOT"));
    }

    /** Returns the line `run` of the deploy file. */
    static String runLine() throws IOException {
        for (String line : Files.readAllLines(root().resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml has no line run");
    }

    /** Has a process ended with this one. */
    static void started(Process process) {
        synchronized (PROCESSES) {
            PROCESSES.add(process);
        }
    }

    // HTTP

    /** A message as it was read. */
    static final class Message {
        String startLine;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    static String readLine(InputStream in) throws IOException {
        var line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException(line.size() == 0 ? "end" : "end in a line");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static Message readHead(InputStream in) throws IOException {
        var message = new Message();
        message.startLine = readLine(in);
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return message;
    }

    static void readBody(InputStream in, Message message) throws IOException {
        if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
            var all = new ByteArrayOutputStream();
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                byte[] chunk = in.readNBytes(size);
                if (chunk.length < size) {
                    throw new EOFException("end in a chunk");
                }
                all.write(chunk);
                readLine(in);
            }
            while (!readLine(in).isEmpty()) {
                // Trailers don't matter here.
            }
            message.body = all.toByteArray();
        } else if (message.header("content-length") != null) {
            int length = Integer.parseInt(message.header("content-length"));
            message.body = in.readNBytes(length);
            if (message.body.length < length) {
                throw new EOFException("end in a body");
            }
        }
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static byte[] ok(String body) {
        return bytes("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + bytes(body).length + "\r\n\r\n" + body);
    }

    // Tile servers

    /** Answers one request that has arrived whole; closes the connection by an exception. */
    interface Handler {
        void handle(TileServer server, Message request, Socket connection, OutputStream out) throws Exception;
    }

    /** A tile server: a thread a connection, and the lines of its requests in the record. */
    static final class TileServer {
        final String id;
        final ServerSocket socket;
        final Handler handler;
        final AtomicLong requests = new AtomicLong();
        volatile long startedMs;
        volatile String state = "ready";

        TileServer(String id, Handler handler) throws IOException {
            this.id = id;
            this.handler = handler;
            socket = new ServerSocket(0, 256, loopback());
            thread(id, () -> {
                while (true) {
                    Socket connection = socket.accept();
                    thread(id, () -> serve(connection));
                }
            });
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        String entry() {
            return String.format("{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"gent-cellar\",\"kind\":\"full-box\",\"cell\":1,\"state\":\"%s\","
                    + "\"weight\":1.0,\"started_ms\":%d}", id, address(), state, startedMs);
        }

        private void serve(Socket connection) throws Exception {
            try (connection) {
                connection.setTcpNoDelay(true);
                var in = new BufferedInputStream(connection.getInputStream());
                while (true) {
                    Message request = readHead(in);
                    readBody(in, request);
                    requests.incrementAndGet();
                    handler.handle(this, request, connection, connection.getOutputStream());
                }
            }
        }
    }

    // Discovery

    /** Discovery: the whole list, and watches on its changes. */
    static final class Discovery {
        final ServerSocket socket;
        final List<TileServer> servers;
        private final Map<Integer, String> changes = new ConcurrentHashMap<>();
        private final Map<Socket, ServerSocket> connections = new ConcurrentHashMap<>();
        private int version = 41;
        /** Takes the place of the ordinary handling of a call if it returns true. */
        volatile CallHook hook = (uri, out) -> false;

        Discovery(List<TileServer> servers) throws IOException {
            this.servers = new ArrayList<>(servers);
            socket = open();
        }

        /** Opens an address of this discovery. */
        final ServerSocket open() throws IOException {
            var opened = new ServerSocket(0, 256, loopback());
            thread("discovery", () -> {
                while (true) {
                    Socket connection = opened.accept();
                    connections.put(connection, opened);
                    thread("discovery", () -> serve(connection));
                }
            });
            return opened;
        }

        /** Closes an address: no new connections from now on, the open ones end after 1.5 s. */
        void close(ServerSocket address) throws IOException {
            address.close();
            thread("discovery", () -> {
                sleep(1.5);
                for (var connection : connections.entrySet()) {
                    if (connection.getValue() == address) {
                        connection.getKey().close();
                    }
                }
            });
        }

        interface CallHook {
            boolean handled(String uri, OutputStream out) throws Exception;
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        synchronized int version() {
            return version;
        }

        synchronized String full() {
            var entries = new ArrayList<String>();
            servers.stream().filter(server -> !server.state.equals("gone")).forEach(server -> entries.add(server.entry()));
            return "{\"version\":" + version + ",\"full\":true,\"servers\":[" + String.join(",", entries) + "]}";
        }

        /** Sets a server's state and start, which is a change of the list. */
        synchronized void change(TileServer server, String state, long startedMs) {
            server.state = state;
            server.startedMs = startedMs;
            changes.put(++version, server.entry());
            notifyAll();
        }

        private void serve(Socket connection) throws Exception {
            try (connection) {
                connection.setTcpNoDelay(true);
                var in = new BufferedInputStream(connection.getInputStream());
                while (true) {
                    // One call after the other on a connection.
                    String uri = readHead(in).startLine.split(" ")[1];
                    note("discovery %s", uri);
                    if (!hook.handled(uri, connection.getOutputStream())) {
                        connection.getOutputStream().write(ok(uri.contains("from=") ? watch(uri) : full()));
                    }
                }
            }
        }

        /** Adds a server, which is a change of the list. */
        synchronized void add(TileServer server) {
            servers.add(server);
            change(server, "ready", 0);
        }

        private synchronized String watch(String uri) throws InterruptedException {
            int from = Integer.parseInt(uri.replaceAll(".*from=(\\d+).*", "$1"));
            long untilNs = System.nanoTime() + Long.parseLong(uri.replaceAll(".*hold_ms=(\\d+).*", "$1")) * 1_000_000;
            while (version <= from && System.nanoTime() < untilNs) {
                TimeUnit.NANOSECONDS.timedWait(this, Math.max(1_000_000, untilNs - System.nanoTime()));
            }
            var entries = new ArrayList<String>();
            for (int v = from + 1; v <= version; v++) {
                if (changes.containsKey(v)) {
                    entries.add(changes.get(v));
                }
            }
            return "{\"version\":" + version + ",\"full\":false,\"servers\":[" + String.join(",", entries) + "]}";
        }
    }

    // The proxy

    /** Settings as of a small deployment. Values may be replaced in the text. */
    static String settings(int proxies, String profiles) {
        return "{\"balancers\":" + proxies + ",\"rank\":0,\"locality\":\"gent-cellar\",\"quantum_us\":2000,\"registry_mode\":\"on_request\","
                + "\"bounds\":{\"cancel\":true,\"may_duplicate\":true,\"probes\":false,\"most_tries\":4,\"max_retry_after_us\":750000,"
                + "\"conn_idle_us\":60000000,\"connect_timeout_us\":200000},"
                + "\"invariants\":{\"cold_from\":0.12,\"cold_us\":22000000,\"fall_multiple\":3.0,\"fall_us\":1000000,"
                + "\"must_ask_in_us\":10000000,\"drain_grace_us\":300000,\"answer_slack_us\":8000},"
                + "\"over_share_worth\":0.05,\"profiles\":[" + profiles + "],"
                + "\"projects\":[{\"name\":\"flanders-sheets\",\"allowance_per_s\":132.0,\"portion\":0.48}]}";
    }

    static final String TILE_VIEW = "{\"name\":\"tile-view\",\"aim_us\":400000,\"deadline_us\":1600000,\"effect\":\"idempotent\","
            + "\"value\":1.0,\"late_worth\":0.0}";
    static final String REPRO_ORDER = "{\"name\":\"repro-order\",\"aim_us\":800000,\"deadline_us\":2500000,\"effect\":\"deduplicated\","
            + "\"key_scope\":\"all\",\"window_us\":3000000,\"value\":10.0,\"late_worth\":0.0}";
    static final String PERMIT = "{\"name\":\"permit\",\"aim_us\":800000,\"deadline_us\":2500000,\"effect\":\"at_most_once\","
            + "\"value\":10.0,\"late_worth\":0.0}";

    /** One proxy, started with the line `run` of the deploy file. */
    static final class Proxy {
        final String name;
        final int port;
        final Path folder;
        final Path config;
        Process process;
        /** The end of its log, for the record. */
        volatile String operator;
        int memoryMb = 192;
        int sockets = 1024;
        /** The limit of descriptors that the platform sets for the process; 0 for the one that is in force here. */
        int limit;

        Proxy(String name) throws IOException {
            this.name = name;
            port = freePort();
            folder = Files.createDirectories(temp.resolve(name));
            config = folder.resolve("config.json");
        }

        void configure(String discovery, String known, String settings) throws IOException {
            Path next = folder.resolve("config.next");
            Files.writeString(next, "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery
                    + "\",\"seed\":\"8c1f30d27a5be964\"," + (operator == null ? "" : "\"operator\":\"" + operator + "\",")
                    + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "},\"known\":" + known
                    + ",\"settings\":" + settings + "}");
            Files.move(next, config, java.nio.file.StandardCopyOption.REPLACE_EXISTING, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        }

        void start() throws IOException {
            Path tmp = Files.createDirectories(folder.resolve("tmp"));
            var builder = new ProcessBuilder("/bin/sh", "-c", (limit > 0 ? "ulimit -n " + limit + "; " : "") + runLine()).directory(root().toFile()).redirectErrorStream(true);
            builder.environment().put("PROXY_NAME", name);
            builder.environment().put("PROXY_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("PROXY_CONFIG", config.toString());
            builder.environment().put("TMPDIR", tmp.toString());
            process = builder.start();
            started(process);
            Process started = process;
            thread("log " + name, () -> {
                try (var log = started.inputReader()) {
                    for (String line = log.readLine(); line != null; line = log.readLine()) {
                        note("%s: %s", name, line);
                    }
                }
            });
            note("%s started, process %d", name, process.pid());
        }

        void awaitReady() throws Exception {
            double until = now() + 30;
            while (now() < until) {
                try (var client = new Client(port)) {
                    client.send(bytes("GET /ready HTTP/1.1\r\nHost: service.internal\r\n\r\n"));
                    if (client.read().status() == 200) {
                        note("%s ready", name);
                        return;
                    }
                } catch (IOException e) {
                    // Not yet.
                }
                sleep(0.05);
            }
            say("%s is not ready", name);
            end(2);
        }

        void signal(String signal) throws Exception {
            note("%s gets %s", name, signal);
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }
    }

    // Clients

    /** One client's connection. */
    static final class Client implements Closeable {
        final Socket socket = new Socket();
        private final InputStream in;

        Client(int port) throws IOException {
            socket.connect(new InetSocketAddress(loopback(), port), 2_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(10_000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(byte[] message) throws IOException {
            socket.getOutputStream().write(message);
        }

        /** Reads an answer; a read that takes 10 s is a SocketTimeoutException. */
        Message read() throws IOException {
            Message answer = readHead(in);
            while (answer.status() == 100) {
                answer = readHead(in);
            }
            readBody(in, answer);
            return answer;
        }

        InputStream in() {
            return in;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static String head(String method, String requestClass, String id, int timeoutMs, String more) {
        return method + " /api?tile=" + id + " HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id + "\r\nX-Priority-Class: "
                + requestClass + "\r\nX-Tenant-Id: flanders-sheets\r\nX-Timeout: " + timeoutMs + "m\r\n" + more + "\r\n";
    }

    static byte[] tileView(String id, int timeoutMs) {
        return bytes(head("GET", "tile-view", id, timeoutMs, "X-Cost: 18000\r\n"));
    }

    static byte[] reproOrder(String id, int timeoutMs, String body) {
        return bytes(head("POST", "repro-order", id, timeoutMs, "X-Cost: 21000\r\nIdempotency-Key: k" + id + "\r\nContent-Length: "
                + bytes(body).length + "\r\n") + body);
    }
}

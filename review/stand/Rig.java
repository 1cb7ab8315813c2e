import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
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
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** What the cases share: the record, the proxy's process, and stand-ins for discovery, tile servers and clients. */
final class Rig implements AutoCloseable {
    /** Whether the disruption of the case takes place. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final Path root;
    final Path temp;
    private final PrintWriter record;
    private final long startNs = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();
    private final List<ServerSocket> sockets = new ArrayList<>();
    final Discovery discovery;

    Rig(Path caseFolder) throws IOException {
        root = caseFolder.toAbsolutePath().normalize().getParent().getParent();
        temp = Files.createTempDirectory("walkpost-review");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
        discovery = new Discovery(this, "127.0.0.1");
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** Returns milliseconds since the case began. */
    double ms() {
        return (System.nanoTime() - startNs) / 1e6;
    }

    /** Writes one line to the record. */
    void note(String format, Object... values) {
        String line = String.format(Locale.ROOT, "%10.1f ", ms()) + String.format(Locale.ROOT, format, values);
        synchronized (record) {
            record.println(line);
        }
    }

    /** Writes one line to the record and to standard output. */
    void say(String format, Object... values) {
        note(format, values);
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    static void sleep(double ms) {
        try {
            TimeUnit.NANOSECONDS.sleep((long) (ms * 1e6));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void thread(String name, Body body) {
        var thread = new Thread(null, () -> {
            try {
                body.run();
            } catch (IOException e) {
                // The peer has gone, or the case is over.
            } catch (Exception e) {
                e.printStackTrace();
            }
        }, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    /** Something that runs on a thread of its own. */
    interface Body {
        void run() throws Exception;
    }

    ServerSocket listen(String host, int backlog) throws IOException {
        var socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(host, 0), backlog);
        synchronized (sockets) {
            sockets.add(socket);
        }
        return socket;
    }

    static int freePort(String host) throws IOException {
        try (var socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    // The proxy's process

    /** Returns the line {@code run} of the deploy file. */
    String runLine() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        throw new IOException("no line 'run' in deploy/balancer.toml");
    }

    /** Starts one proxy by the deploy file's {@code run}, with its configuration and an empty TMPDIR; its log is in the temporary folder. */
    Process startProxy(String name, Path config, Map<String, String> more) throws IOException {
        Path tmp = Files.createDirectories(temp.resolve(name + "-tmp"));
        var builder = new ProcessBuilder("/bin/sh", "-c", runLine()).directory(root.toFile());
        builder.environment().putAll(Map.of("PROXY_NAME", name, "PROXY_CONFIG", config.toString(), "TMPDIR", tmp.toString()));
        builder.environment().putAll(more);
        File log = temp.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log)).redirectInput(new File("/dev/null"));
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        note("proxy %s started, pid %d", name, process.pid());
        return process;
    }

    /** Sends a signal to a process that this case started. */
    void signal(Process process, String signal) throws IOException, InterruptedException {
        note("SIG%s to pid %d", signal, process.pid());
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Waits until {@code GET /ready} answers 200. */
    void awaitReady(String host, int port, Process process) throws Exception {
        for (int i = 0; i < 300; i++) {
            if (!process.isAlive()) {
                throw new IllegalStateException("the proxy has ended: status " + process.exitValue());
            }
            try (var client = new Client(host, port, 1_000)) {
                client.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", new byte[0]);
                if (client.read().status == 200) {
                    note("proxy at %s:%d is ready", host, port);
                    return;
                }
            } catch (IOException e) {
                // Not yet.
            }
            sleep(100);
        }
        throw new IllegalStateException("the proxy is not ready after 30 s");
    }

    /** Copies the end of a process's log to the record. */
    void noteLog(String name) throws IOException {
        Path log = temp.resolve(name + ".log");
        if (Files.exists(log)) {
            List<String> lines = Files.readAllLines(log);
            for (String line : lines.subList(Math.max(0, lines.size() - 40), lines.size())) {
                note("log of %s: %s", name, line);
            }
        }
    }

    private void killAll() {
        synchronized (processes) {
            processes.forEach(Process::destroyForcibly);
            for (Process process : processes) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        synchronized (record) {
            record.flush();
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
        synchronized (sockets) {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
        record.close();
        try (Stream<Path> files = Files.walk(temp)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }

    // Messages

    /** A request or an answer as it was read. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        int status;

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private static String line(InputStream in) throws IOException {
        var line = new ByteArrayOutputStream(64);
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException();
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.UTF_8).strip();
    }

    /** Reads the head of a message. */
    static Message readHead(InputStream in) throws IOException {
        var message = new Message();
        message.first = line(in);
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            message.headers.put(header.substring(0, colon).strip(), header.substring(colon + 1).strip());
        }
        if (message.first.startsWith("HTTP/")) {
            message.status = Integer.parseInt(message.first.split(" ")[1]);
        }
        return message;
    }

    /** Reads the body that belongs to a head: by its length, or chunked. */
    static void readBody(InputStream in, Message message) throws IOException {
        if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            var all = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in).split(";")[0], 16);
                if (size == 0) {
                    while (!line(in).isEmpty()) {
                        // A trailer.
                    }
                    break;
                }
                all.write(exactly(in, size));
                line(in);
            }
            message.body = all.toByteArray();
        } else {
            String length = message.header("Content-Length");
            message.body = length.isEmpty() ? new byte[0] : exactly(in, Integer.parseInt(length));
        }
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException();
        }
        return bytes;
    }

    static byte[] answer(int status, String reason, String more, byte[] body) {
        byte[] head = ("HTTP/1.1 " + status + " " + reason + "\r\nContent-Length: " + body.length + "\r\n" + more + "\r\n")
                .getBytes(StandardCharsets.UTF_8);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    /** One connection of a client. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream in;
        private final OutputStream out;

        Client(String host, int port, int timeoutMs) throws IOException {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            socket.connect(new InetSocketAddress(host, port), 1_000);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void send(String head, byte[] body) throws IOException {
            byte[] bytes = head.getBytes(StandardCharsets.UTF_8);
            byte[] all = new byte[bytes.length + body.length];
            System.arraycopy(bytes, 0, all, 0, bytes.length);
            System.arraycopy(body, 0, all, bytes.length, body.length);
            out.write(all);
            out.flush();
        }

        Message read() throws IOException {
            Message message = readHead(in);
            readBody(in, message);
            return message;
        }

        InputStream in() {
            return in;
        }

        OutputStream out() {
            return out;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    // Discovery

    /** Discovery as the protocol page has it: the whole list, and watches that wait for changes. */
    static final class Discovery {
        private final Rig rig;
        final String address;
        private final Map<String, String> entries = new LinkedHashMap<>();
        private final Map<String, Long> changedIn = new LinkedHashMap<>();
        private long version = 41;

        Discovery(Rig rig, String host) throws IOException {
            this.rig = rig;
            ServerSocket socket = rig.listen(host, 100);
            address = host + ":" + socket.getLocalPort();
            thread("discovery", () -> {
                while (true) {
                    Socket caller = socket.accept();
                    thread("call", () -> serve(caller));
                }
            });
        }

        /** Sets the state of a tile server; whoever watches is told at once. */
        synchronized void set(String id, String addr, String kind, String state, long startedMs) {
            version++;
            entries.put(id, String.format(Locale.ROOT, "{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"gent-cellar\",\"kind\":\"%s\",\"cell\":0,"
                    + "\"state\":\"%s\",\"weight\":1.0,\"started_ms\":%d}", id, addr, kind, state, startedMs));
            changedIn.put(id, version);
            rig.note("discovery: version %d, %s is %s", version, id, state);
            notifyAll();
        }

        /** Returns the whole list, in the form of the protocol page. */
        synchronized String list(long from) {
            List<String> chosen = new ArrayList<>();
            entries.forEach((id, entry) -> {
                if (from >= 0 ? changedIn.get(id) > from : !entry.contains("\"state\":\"gone\"")) {
                    chosen.add(entry);
                }
            });
            return "{\"version\":" + version + ",\"full\":" + (from < 0) + ",\"servers\":[" + String.join(",", chosen) + "]}";
        }

        private synchronized String watched(long from, long holdMs) throws InterruptedException {
            long end = System.nanoTime() + holdMs * 1_000_000;
            while (version <= from && System.nanoTime() < end) {
                wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            }
            return list(from);
        }

        private void serve(Socket caller) throws Exception {
            try (caller) {
                var in = new BufferedInputStream(caller.getInputStream());
                while (true) {
                    Message call = readHead(in);
                    String target = call.first.split(" ")[1];
                    long from = number(target, "from=", -1);
                    String list = from < 0 ? list(-1) : watched(from, number(target, "hold_ms=", 0));
                    caller.getOutputStream().write(answer(200, "OK", "Content-Type: application/json\r\n",
                            list.getBytes(StandardCharsets.UTF_8)));
                    if (call.header("Connection").equalsIgnoreCase("close")) {
                        return;
                    }
                }
            }
        }

        private static long number(String target, String name, long otherwise) {
            int at = target.indexOf(name);
            return at < 0 ? otherwise : Long.parseLong(target.substring(at + name.length()).split("&")[0]);
        }
    }

    // Tile servers

    /** What a tile server does with a request whose last byte has arrived. Returns whether the connection stays. */
    interface Work {
        boolean handle(Message request, Socket connection) throws Exception;
    }

    /** A tile server that listens on a loopback address. */
    static final class TileServer {
        final String id;
        final String address;

        TileServer(Rig rig, String id, Work work) throws IOException {
            this(rig, id, head -> { }, work);
        }

        /** Creates a tile server; {@code onHead} is told of a request as soon as its head has arrived. */
        TileServer(Rig rig, String id, java.util.function.Consumer<Message> onHead, Work work) throws IOException {
            this.id = id;
            ServerSocket socket = rig.listen("127.0.0.1", 128);
            address = "127.0.0.1:" + socket.getLocalPort();
            thread(id, () -> {
                while (true) {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    thread(id + "-connection", () -> {
                        try (connection) {
                            var in = new BufferedInputStream(connection.getInputStream());
                            boolean stays = true;
                            while (stays) {
                                Message request = readHead(in);
                                onHead.accept(request);
                                readBody(in, request);
                                stays = work.handle(request, connection);
                            }
                        }
                    });
                }
            });
        }
    }

    // Configuration

    /** Writes a configuration like those of gent-archive, with so many proxies; {@code limits} is the object of that name. */
    Path config(String name, String listen, int proxies, int rank, String limits, String known) throws IOException {
        String json = """
                {"name":"%s","listen":"%s","discovery":"%s","seed":"8c1f30d27a5be9%02x","limits":%s,"known":%s,
                "settings":{"balancers":%d,"rank":%d,"locality":"gent-cellar","quantum_us":2000,"registry_mode":"on_request",
                "over_share_worth":0.05,"worth_by":"work","family":"proxy","kinds":["full-box","small-box"],"zones":["gent-cellar"],
                "bounds":{"cancel":true,"may_duplicate":true,"probes":false,"most_tries":4,"max_retry_after_us":750000,"retry_after":true,
                "connect_timeout_us":100000,"conn_idle_us":60000000,"streams_per_conn":1},
                "invariants":{"answer_slack_us":8000,"cold_from":0.12,"cold_us":22000000,"fall_multiple":3.0,"fall_us":1000000,
                "must_ask_in_us":10000000,"drain_grace_us":300000},
                "profiles":[
                {"name":"tile-view","aim_us":200000,"deadline_us":800000,"effect":"idempotent","value":1.0,"late_worth":0.0,
                "key_scope":"all","window_us":5000000,"stream":false},
                {"name":"repro-order","aim_us":400000,"deadline_us":1500000,"effect":"deduplicated","value":10.0,"late_worth":0.0,
                "key_scope":"all","window_us":3000000,"stream":false}],
                "projects":[{"name":"flanders-sheets","allowance_per_s":132.0,"portion":0.48},
                {"name":"ferraris-atlas","allowance_per_s":116.0,"portion":0.42},
                {"name":"city-plans","allowance_per_s":28.0,"portion":0.1}]}}
                """.formatted(name, listen, discovery.address, rank, limits, known, proxies, rank);
        Path file = temp.resolve(name + ".json");
        Files.writeString(file, json);
        return file;
    }

    static String tileView(String id, int timeoutMs) {
        return "GET /api/tile?n=" + id + " HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: tile-view\r\nX-Tenant-Id: flanders-sheets\r\nX-Timeout: " + timeoutMs + "m\r\n\r\n";
    }

    static String reproOrder(String id, int timeoutMs, int length) {
        return "POST /api/order HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: repro-order\r\nX-Tenant-Id: ferraris-atlas\r\nX-Timeout: " + timeoutMs
                + "m\r\nIdempotency-Key: key-" + id + "\r\nContent-Length: " + length + "\r\n\r\n";
    }
}

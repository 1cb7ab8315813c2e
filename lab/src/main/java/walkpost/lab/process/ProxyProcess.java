package walkpost.lab.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.stream.Stream;
import walkpost.lab.ledger.Seen;
import walkpost.lab.net.Board;
import walkpost.lab.net.Stage;

/**
 * A proxy's place in the fleet: its address, its folder and the process that runs there, one life after the other. Used by
 * the play's thread alone, but for the note of a process's end.
 */
public final class ProxyProcess implements Place {
    private final Stage stage;
    private Program program;
    private final int number;
    private final InetSocketAddress address;
    private final Path folder;
    private final Path log;
    private Map<String, String> more = Map.of();
    private Child child;
    private volatile boolean expected;

    /** Creates a place in a folder; the address is one that is free now. */
    public ProxyProcess(Stage stage, Program program, int number, Path folder) throws IOException {
        this.stage = stage;
        become(program);
        this.number = number;
        this.folder = Files.createDirectories(folder.resolve("n" + number));
        log = folder.resolve("n" + number + ".log");
        InetAddress host = InetAddress.getByName("127." + (1 + number) + ".240.1");
        try (var free = new ServerSocket(0, 1, host)) {
            address = new InetSocketAddress(host, free.getLocalPort());
        }
    }

    /** Starts as this program from now on; whoever runs goes on as it is. */
    public void become(Program next) {
        long heap = stage.scenario().fleet().heap();
        program = heap > 0 ? next.withHeap(heap) : next;
    }

    public InetSocketAddress address() {
        return address;
    }

    /** Returns the folder of this place, which outlives its processes. */
    public Path folder() {
        return folder;
    }

    /** Tells all lives that begin from now on some variables more. */
    public void tell(Map<String, String> variables) {
        more = Map.copyOf(variables);
    }

    /** Starts a process with an empty folder; {@code settings} makes its configuration from a seed. */
    public void start(LongFunction<ObjectNode> settings, long seed) throws IOException {
        Path temp = folder.resolve("tmp");
        remove(temp);
        Files.createDirectories(temp);
        Path config = folder.resolve("config.json");
        Files.writeString(config, settings.apply(seed).toString());
        expected = false;
        int core = Cores.first(folder.getParent()) + number;
        var environment = new HashMap<>(more);
        environment.putAll(Map.of("PROXY_NAME", "n" + number, "PROXY_LISTEN", text(address), "PROXY_CONFIG", config.toString(),
                "TMPDIR", temp.toString(), Board.VARIABLE, folder.getParent().resolve("board").toString()));
        child = Child.start(program, core, environment, log);
        note(Seen.Life.STARTED, program.name() + ", pid " + child.pid());
        Child started = child;
        child.ended().thenAccept(status -> note(Seen.Life.ENDED, expected ? "status " + status
                : "status " + status + ", by itself: " + started.lastWords()));
    }

    /** Removes a folder with all that is in it, where there is one. */
    static void remove(Path directory) throws IOException {
        if (Files.exists(directory)) {
            try (Stream<Path> files = Files.walk(directory)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    @Override
    public boolean alive() {
        return child != null && child.alive();
    }

    @Override
    public void kill() {
        if (alive()) {
            expected = true;
            note(Seen.Life.KILLED, "");
            child.kill();
        }
    }

    @Override
    public void terminate() {
        if (alive()) {
            expected = true;
            note(Seen.Life.TERMINATED, "");
            child.signal("TERM");
        }
    }

    @Override
    public void stop() {
        if (alive()) {
            note(Seen.Life.STOPPED, "");
            child.signal("STOP");
        }
    }

    @Override
    public void go() {
        if (alive()) {
            child.signal("CONT");
            note(Seen.Life.CONTINUED, "");
        }
    }

    /** Has it read its configuration again. */
    public void hangUp() {
        if (alive()) {
            child.signal("HUP");
        }
    }

    /** Notes what it has used so far. */
    public void noteUse() {
        Child.Use use = alive() ? child.use() : null;
        if (use != null) {
            stage.ledger().note(new Seen.Used(stage.clock().now(), number, use.cpuMs(), use.memoryKb(), use.descriptors()));
        }
    }

    /** Returns the end of its log. */
    public String lastWords() {
        return child == null ? "" : child.lastWords();
    }

    private void note(Seen.Life life, String detail) {
        stage.ledger().note(new Seen.ProxyIs(stage.clock().now(), number, life, detail));
    }
}

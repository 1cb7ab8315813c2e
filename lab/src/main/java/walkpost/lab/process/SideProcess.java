package walkpost.lab.process;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import walkpost.lab.ledger.Seen;
import walkpost.lab.net.Stage;

/**
 * A place beside the proxies: a process that votes, or that holds hollow members, one life after the other, and what it says on its
 * standard output, an object a line. Used by the play's thread alone, but for the note of a process's end.
 */
public final class SideProcess implements Place {
    /** How a line begins that is no line of its log. */
    private static final List<String> SAID = List.of("{\"hollow\":", "{\"member\":");
    /** So much of a log is read at once, in bytes: a process that says more is read the next time. */
    private static final int MOST = 4 << 20;

    private final Stage stage;
    private final Program program;
    private final String name;
    private final int number;
    private final Path log;
    private Child child;
    private long read;
    private volatile boolean expected;

    /**
     * Creates a place.
     *
     * @param number among all processes of the play, proxies included: says which core it runs on
     * @param folder the play's
     */
    public SideProcess(Stage stage, Program program, String name, int number, Path folder) {
        this.stage = stage;
        this.program = program;
        this.name = name;
        this.number = Cores.first(folder) + number;
        log = folder.resolve(name + ".log");
    }

    public String name() {
        return name;
    }

    /** Starts a process. */
    public void start() throws IOException {
        expected = false;
        child = Child.start(program, number, Map.of("PROXY_NAME", name), log);
        note(Seen.Life.STARTED, program.name() + ", pid " + child.pid());
        Child started = child;
        child.ended().thenAccept(status -> note(Seen.Life.ENDED, expected ? "status " + status
                : "status " + status + ", by itself: " + started.lastWords()));
    }

    /** Notes what it has said since the last time; returns those lines. */
    public List<String> listen() {
        var lines = new ArrayList<String>();
        if (Files.exists(log)) {
            try (var file = new RandomAccessFile(log.toFile(), "r")) {
                file.seek(read);
                byte[] more = new byte[(int) Math.min(MOST, file.length() - read)];
                file.readFully(more);
                int whole = more.length;
                while (whole > 0 && more[whole - 1] != '\n') {
                    whole--;
                }
                read += whole;
                new String(more, 0, whole, StandardCharsets.UTF_8).lines().filter(line -> SAID.stream().anyMatch(line::startsWith))
                        .forEach(lines::add);
            } catch (IOException e) {
                throw new IllegalStateException(log + " can't be read", e);
            }
        }
        lines.forEach(line -> stage.ledger().note(new Seen.Said(stage.clock().now(), name, line)));
        return lines;
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
            listen();
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

    /** Notes what it has used so far. */
    public void noteUse() {
        Child.Use use = alive() ? child.use() : null;
        if (use != null) {
            stage.ledger().note(new Seen.SideUsed(stage.clock().now(), name, use.cpuMs(), use.memoryKb(), use.descriptors()));
        }
    }

    /** Returns the end of its log. */
    public String lastWords() {
        return child == null ? "" : child.lastWords();
    }

    private void note(Seen.Life life, String detail) {
        stage.ledger().note(new Seen.SideIs(stage.clock().now(), name, life, detail));
    }
}

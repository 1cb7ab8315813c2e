package walkpost.proxy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/** The program as {@code run} starts it, in a process of its own. */
final class Program implements Closeable {
    /** The command that {@code run} stands for here. */
    static final List<String> SERVE = List.of(ProcessHandle.current().info().command().orElseThrow(), "-cp",
            System.getProperty("java.class.path"), "walkpost.proxy.Serve");

    private final Path file;
    private final Process process;
    private final Output log;

    /** What a process writes, read as it is waited for. */
    record Output(BufferedReader lines) {
        Output(Process process) {
            this(process.inputReader());
        }

        /** Waits for a line that a pattern is found in; returns it, or null if the process has ended without it. */
        String line(String pattern) {
            return lines.lines().filter(Pattern.compile(pattern).asPredicate()).findFirst().orElse(null);
        }
    }

    /** Starts it with a folder of its own, which holds its configuration and whatever it leaves there. */
    Program(Path dir, ObjectNode config) throws IOException {
        this(dir, config, Map.of());
    }

    /** The same with more in its environment, and with options for the virtual machine. */
    Program(Path dir, ObjectNode config, Map<String, String> environment, String... options) throws IOException {
        file = dir.resolve("config.json");
        configure(config);
        var words = new ArrayList<>(SERVE);
        words.addAll(1, List.of(options));
        var command = new ProcessBuilder(words).redirectErrorStream(true);
        command.environment().putAll(environment);
        command.environment().put("PROXY_CONFIG", file.toString());
        command.environment().put("TMPDIR", dir.toString());
        process = command.start();
        log = new Output(process);
    }

    void configure(ObjectNode config) throws IOException {
        Files.writeString(file, config.toString());
    }

    /** Waits for a line of its log. */
    String line(String pattern) {
        return log.line(pattern);
    }

    void signal(String name) throws Exception {
        new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }

    /** Waits for all lines of its log up to one that a pattern is found in. */
    List<String> linesUpTo(String pattern) {
        var lines = new ArrayList<String>();
        var last = Pattern.compile(pattern).asPredicate();
        log.lines().lines().peek(lines::add).anyMatch(last);
        return lines;
    }

    /** Waits for its end; returns its exit status. */
    int status() throws InterruptedException {
        return process.waitFor();
    }

    boolean ended() throws InterruptedException {
        return process.waitFor(0, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
    }
}

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

/** A proxy in a process of its own, as the command {@code run} starts it. */
final class ServeProcess implements Closeable {
    /** The command line that starts a proxy with the classes under test. */
    static final List<String> SERVE = List.of(ProcessHandle.current().info().command().orElseThrow(), "-cp",
            System.getProperty("java.class.path"), "walkpost.proxy.Serve");

    private final Path configFile;
    private final Process process;
    private final ProcessOutput output;

    /** The output of a process, which is read only as a test waits for lines. */
    record ProcessOutput(BufferedReader reader) {
        ProcessOutput(Process process) {
            this(process.inputReader());
        }

        /** Waits for a line in which a pattern is found and returns it; returns null if the process has ended without such a line. */
        String waitForLine(String pattern) {
            return reader.lines().filter(Pattern.compile(pattern).asPredicate()).findFirst().orElse(null);
        }
    }

    /** Starts a proxy with a directory of its own, which holds its configuration and the files that it writes. */
    ServeProcess(Path dir, ObjectNode config) throws IOException {
        this(dir, config, Map.of());
    }

    /** Starts a proxy with additional environment variables and with options for the JVM. */
    ServeProcess(Path dir, ObjectNode config, Map<String, String> environment, String... jvmOptions) throws IOException {
        configFile = dir.resolve("config.json");
        writeConfig(config);
        var words = new ArrayList<>(SERVE);
        words.addAll(1, List.of(jvmOptions));
        var command = new ProcessBuilder(words).redirectErrorStream(true);
        command.environment().putAll(environment);
        command.environment().put("PROXY_CONFIG", configFile.toString());
        command.environment().put("TMPDIR", dir.toString());
        process = command.start();
        output = new ProcessOutput(process);
    }

    /** Writes the configuration file. */
    void writeConfig(ObjectNode config) throws IOException {
        Files.writeString(configFile, config.toString());
    }

    /** Waits for a line of the log in which a pattern is found. */
    String waitForLine(String pattern) {
        return output.waitForLine(pattern);
    }

    /** Sends a signal, by its name without SIG. */
    void signal(String name) throws Exception {
        new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }

    /** Waits for a line of the log in which a pattern is found, and returns the lines up to it. */
    List<String> linesUpTo(String pattern) {
        var lines = new ArrayList<String>();
        var isLast = Pattern.compile(pattern).asPredicate();
        output.reader().lines().peek(lines::add).anyMatch(isLast);
        return lines;
    }

    /** Waits for the end of the process and returns its exit status. */
    int exitStatus() throws InterruptedException {
        return process.waitFor();
    }

    /** Returns whether the process has ended. */
    boolean hasEnded() throws InterruptedException {
        return process.waitFor(0, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
    }
}

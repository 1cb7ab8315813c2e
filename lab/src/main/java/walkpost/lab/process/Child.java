package walkpost.lab.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * One process that the lab has started. It has a session of its own, so that a terminal that goes away means nothing to it;
 * every signal does to it what it does by default, whatever the lab itself ignores; and the kernel kills it when the lab's
 * thread that started it ends, however that comes about. That thread must therefore live as long as the play.
 */
public final class Child {
    /** The last words of a process that are kept for the ledger. */
    private static final int LAST_WORDS = 300;

    private final Process process;
    private final Path log;

    private Child(Process process, Path log) {
        this.process = process;
        this.log = log;
    }

    /**
     * Starts a process; what it writes is added to a log. It runs on one core (DEPLOY, "Limits"), shared with others of its
     * kind, and gives way to the lab: stand-ins that are late would be held against the program.
     *
     * @param number says which core
     * @throws IOException if it can't be started
     */
    public static Child start(Program program, int number, Map<String, String> environment, Path log) throws IOException {
        String lab = Long.toString(ProcessHandle.current().pid());
        // The lab may end before the kernel is told to look: who finds another parent then must not stay.
        var command = new ArrayList<>(List.of("setsid", "nice", "-n", "10", "taskset", "-c", Integer.toString(Cores.of(number)),
                "env", "--default-signal", "setpriv", "--pdeathsig", "KILL",
                "/bin/sh", "-c", "[ \"$PPID\" = " + lab + " ] || exit 1; exec \"$@\"", "child"));
        command.addAll(program.command());
        var builder = new ProcessBuilder(command).directory(program.folder().toFile()).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().putAll(environment);
        Process process = builder.start();
        process.getOutputStream().close();
        return new Child(process, log);
    }

    public long pid() {
        return process.pid();
    }

    public boolean alive() {
        return process.isAlive();
    }

    /** Returns its exit status once it has ended. */
    public CompletableFuture<Integer> ended() {
        return process.onExit().thenApply(Process::exitValue);
    }

    /** Sends it a signal by its name, such as {@code HUP}; nothing if it has ended. */
    public void signal(String name) {
        if (!process.isAlive()) {
            return;
        }
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD).start().waitFor();
        } catch (IOException e) {
            throw new IllegalStateException("kill can't be started", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends it at once and waits until it is gone. */
    public void kill() {
        process.destroyForcibly();
        try {
            if (!process.waitFor(10, TimeUnit.SECONDS)) {
                throw new IllegalStateException("process " + pid() + " can't be ended");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the end of what it has written, as one line. */
    public String lastWords() {
        try {
            String all = Files.readString(log);
            return all.substring(Math.max(0, all.length() - LAST_WORDS)).strip().replace('\n', '|');
        } catch (IOException e) {
            return "(no log: " + e + ")";
        }
    }

    /**
     * Returns the microseconds of processor time of the threads that it has now, to the nanosecond as the scheduler counts; what
     * {@link #use} gives is in steps of 10 ms. Below 0 if it has ended.
     */
    public long threadsUs() {
        long ns = 0;
        try (Stream<Path> threads = Files.list(Path.of("/proc", Long.toString(process.pid()), "task"))) {
            for (Path thread : threads.toList()) {
                String told = Files.readString(thread.resolve("schedstat"));
                ns += Long.parseLong(told.substring(0, told.indexOf(' ')));
            }
        } catch (IOException | UncheckedIOException e) {
            return -1;
        }
        return ns / 1_000;
    }

    /** What a process has used: processor time, memory in the machine, open descriptors. */
    public record Use(long cpuMs, long memoryKb, int descriptors) { }

    /** Returns what it has used so far, or null if it has ended. */
    public Use use() {
        Path proc = Path.of("/proc", Long.toString(process.pid()));
        try {
            String stat = Files.readString(proc.resolve("stat"));
            // The name may hold anything; after its closing bracket come fields 3 and on, of which 14 and 15 are times.
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            long ticks = Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
            long rss = 0;
            for (String line : Files.readAllLines(proc.resolve("status"))) {
                if (line.startsWith("VmRSS:")) {
                    rss = Long.parseLong(line.replaceAll("\\D+", ""));
                }
            }
            String[] open = proc.resolve("fd").toFile().list();
            return new Use(ticks * 10, rss, open == null ? 0 : open.length);
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }
}

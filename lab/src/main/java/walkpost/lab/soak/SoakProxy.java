package walkpost.lab.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import walkpost.lab.process.Program;

/**
 * The proxy under test: one process, or two during an upgrade, started as the platform does. With a shared listener a few lines of Perl
 * hold the listening socket, because a JVM can't pass one on.
 */
final class SoakProxy implements Closeable {
    private static final String SOCKET_HOLDER = """
            use Socket;
            $| = 1;
            my ($host, $port) = @ARGV[0, 1];
            socket(my $s, PF_INET, SOCK_STREAM, 0) or die;
            setsockopt($s, SOL_SOCKET, SO_REUSEADDR, 1);
            bind($s, sockaddr_in($port, inet_aton($host))) or die; listen($s, 1024) or die;
            print "listening\\n";
            while (<STDIN>) {
              my $pid = fork();
              if (!$pid) { open(STDIN, '<&', $s) or die; exec '/bin/sh', '-c', $ARGV[2] or die; }
              print "pid $pid\\n";
            }
            """;
    private static final int READY_TIMEOUT_S = 30;
    private static final int LAST_WORDS = 600;
    /** The platform kills a process this long after the longest deadline, counted from SIGTERM. */
    private static final int KILL_AFTER_DEADLINE_MS = 700;

    private final Program program;
    private final Path folder;
    private final boolean sharedListener;
    private final SoakRecord record;
    private final InetSocketAddress address;
    private final InetSocketAddress operatorAddress;
    private final List<ProcessHandle> running = new ArrayList<>();
    private final List<ProcessHandle> told = new ArrayList<>();
    private ObjectNode configuration;
    private Process socketHolder;

    SoakProxy(Program program, Path folder, String host, boolean sharedListener, SoakRecord record) throws IOException {
        this.program = program;
        this.folder = folder;
        this.sharedListener = sharedListener;
        this.record = record;
        address = free(host);
        operatorAddress = free(host);
        Files.createDirectories(folder.resolve("tmp"));
    }

    private static InetSocketAddress free(String host) throws IOException {
        try (var socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    InetSocketAddress address() {
        return address;
    }

    InetSocketAddress operatorAddress() {
        return operatorAddress;
    }

    /** Starts the first process and waits until it is ready. */
    void start(ObjectNode settings) throws IOException, InterruptedException {
        configuration = settings;
        Files.writeString(config(), settings.toString());
        startProcess();
        awaitReady();
    }

    private Path config() {
        return folder.resolve("config.json");
    }

    private synchronized void startProcess() throws IOException {
        ProcessHandle started;
        if (sharedListener) {
            if (socketHolder == null) {
                socketHolder = command(List.of("perl", "-e", SOCKET_HOLDER, address.getAddress().getHostAddress(),
                        Integer.toString(address.getPort()), program.command().get(program.command().size() - 1)))
                        .redirectInput(ProcessBuilder.Redirect.PIPE).redirectOutput(ProcessBuilder.Redirect.PIPE).start();
                socketHolder.inputReader().readLine();
            }
            socketHolder.outputWriter().write("start\n");
            socketHolder.outputWriter().flush();
            long pid = Long.parseLong(socketHolder.inputReader().readLine().substring("pid ".length()));
            started = ProcessHandle.of(pid).orElseThrow();
        } else {
            started = command(program.command()).start().toHandle();
        }
        running.add(started);
    }

    private ProcessBuilder command(List<String> words) {
        var builder = new ProcessBuilder(words).directory(program.folder().toFile());
        builder.environment().put("PROXY_NAME", "n0");
        builder.environment().put("PROXY_CONFIG", config().toString());
        builder.environment().put("TMPDIR", folder.resolve("tmp").toString());
        if (sharedListener) {
            builder.environment().put("PROXY_LISTEN_FD", "0");
        }
        File log = folder.resolve("n0.log").toFile();
        return builder.redirectErrorStream(false).redirectError(ProcessBuilder.Redirect.appendTo(log))
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log)).redirectInput(new File("/dev/null"));
    }

    private void awaitReady() throws IOException, InterruptedException {
        long latestNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_S);
        while (System.nanoTime() < latestNs) {
            try (SoakConnection connection = SoakConnection.connect(address)) {
                connection.readUntil(System.nanoTime() + TimeUnit.SECONDS.toNanos(1));
                connection.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
                SoakConnection.Head head = connection.readHead();
                if (head != null && head.status() == 200) {
                    return;
                }
            } catch (IOException e) {
                // Not yet.
            }
            SoakThreads.sleepMs(50);
        }
        throw new IOException("the proxy is not ready after " + READY_TIMEOUT_S + " s: " + lastWords());
    }

    /** Does what the plan says to the process. */
    void act(SoakPlan.Act act) throws IOException, InterruptedException {
        switch (act) {
            case RELOAD -> reload();
            case RESTART -> restart();
            case UPGRADE -> upgrade();
        }
    }

    /** Writes the configuration again and has it read, as the platform does; the file is whole and the same. */
    private void reload() throws IOException, InterruptedException {
        Files.writeString(config(), configuration.toString());
        signal(newest(), "HUP");
    }

    private void restart() throws IOException, InterruptedException {
        terminate(newest());
        startProcess();
        awaitReady();
    }

    /** Starts the next process beside the present one, and ends that one once the next answers at the operator endpoint's port or in time. */
    private void upgrade() throws IOException, InterruptedException {
        ProcessHandle previous = newest();
        InetSocketAddress nextOperator = free(address.getAddress().getHostAddress());
        configuration.put("operator", nextOperator.getAddress().getHostAddress() + ":" + nextOperator.getPort());
        Files.writeString(config(), configuration.toString());
        startProcess();
        awaitYes(nextOperator);
        terminate(previous);
    }

    private void awaitYes(InetSocketAddress operator) throws InterruptedException {
        long latestNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_S);
        while (System.nanoTime() < latestNs) {
            try (SoakConnection connection = SoakConnection.connect(operator)) {
                connection.readUntil(System.nanoTime() + TimeUnit.SECONDS.toNanos(1));
                connection.send("readyz\n");
                if (connection.read() == 'S') {
                    return;
                }
            } catch (IOException e) {
                // Not yet.
            }
            SoakThreads.sleepMs(50);
        }
    }

    /** Sends SIGTERM and, at the earliest time that the pages allow, SIGKILL. */
    private void terminate(ProcessHandle process) throws IOException, InterruptedException {
        synchronized (this) {
            told.add(process);
        }
        long killAtNs = System.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos(SoakSettings.LONGEST_DEADLINE_MS + (long) KILL_AFTER_DEADLINE_MS);
        signal(process, "TERM");
        while (isRunning(process) && System.nanoTime() < killAtNs) {
            SoakThreads.sleepMs(5);
        }
        process.destroyForcibly();
        record.orderlyEnds.add(new SoakRecord.Ended(System.nanoTime()));
        synchronized (this) {
            running.remove(process);
        }
    }

    private synchronized ProcessHandle newest() {
        return running.get(running.size() - 1);
    }

    private static void signal(ProcessHandle process, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Notes what the processes use together; notes a process that has ended though nobody told it to. */
    synchronized void sample() {
        long memoryKb = 0;
        int descriptors = 0;
        for (ProcessHandle process : List.copyOf(running)) {
            if (!isRunning(process)) {
                if (!told.contains(process)) {
                    record.ends.add(new SoakRecord.EndedByItself(System.nanoTime(), lastWords()));
                }
                running.remove(process);
                continue;
            }
            Path proc = Path.of("/proc", Long.toString(process.pid()));
            memoryKb += memoryKb(proc);
            String[] open = proc.resolve("fd").toFile().list();
            descriptors += open == null ? 0 : open.length;
        }
        record.uses.add(new SoakRecord.Use(System.nanoTime(), memoryKb, descriptors, running.size()));
    }

    /** A process that the socket holder has not waited for stays as a zombie, without memory. */
    private static boolean isRunning(ProcessHandle process) {
        return process.isAlive() && memoryKb(Path.of("/proc", Long.toString(process.pid()))) > 0;
    }

    private static long memoryKb(Path proc) {
        try (Stream<String> lines = Files.lines(proc.resolve("status"))) {
            return lines.filter(line -> line.startsWith("VmRSS:")).mapToLong(line -> Long.parseLong(line.replaceAll("\\D+", "")))
                    .findFirst().orElse(0);
        } catch (IOException | UncheckedIOException e) {
            return 0;
        }
    }

    String lastWords() {
        try {
            String all = Files.readString(folder.resolve("n0.log"));
            return all.substring(Math.max(0, all.length() - LAST_WORDS)).strip().replace('\n', '|');
        } catch (IOException e) {
            return "(no log: " + e + ")";
        }
    }

    @Override
    public synchronized void close() {
        running.forEach(ProcessHandle::destroyForcibly);
        running.forEach(process -> process.onExit().orTimeout(5, TimeUnit.SECONDS).exceptionally(e -> process).join());
        if (socketHolder != null) {
            socketHolder.destroyForcibly();
        }
    }
}

package walkpost.proxy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * Holds a listening socket and starts programs that inherit it as descriptor 0, as the platform does. A JVM can't pass
 * a socket on, so a few lines of Perl, which is part of every Debian, hold it: they start a program for each line read.
 */
final class Platform implements Closeable {
    private static final String HOLDER = """
            use Socket;
            $| = 1;
            socket(my $s, PF_INET, SOCK_STREAM, 0) or die; bind($s, sockaddr_in(0, INADDR_LOOPBACK)) or die;
            listen($s, 64) or die;
            my ($port) = sockaddr_in(getsockname($s)); print "port $port\\n";
            my @children;
            while (my $word = <STDIN>) {
              if ($word eq "end\\n") { kill 'TERM', shift @children; next; }
              my $pid = fork();
              if (!$pid) { open(STDIN, '<&', $s) or die; exec @ARGV; }
              push @children, $pid;
            }
            kill 'KILL', @children;
            """;

    private final Process process;
    private final Program.Output output;
    private final InetSocketAddress address;

    Platform(Path dir, ObjectNode config) throws IOException {
        this(dir, config, Map.of());
    }

    /** The same with more in the programs' environment. */
    Platform(Path dir, ObjectNode config, Map<String, String> environment) throws IOException {
        Path file = Files.writeString(dir.resolve("config.json"), config.toString());
        var command = new ProcessBuilder("perl", "-e", HOLDER);
        command.command().addAll(Program.SERVE);
        command.redirectErrorStream(true).environment().putAll(Map.of("PROXY_CONFIG", file.toString(),
                "TMPDIR", dir.toString(), "PROXY_LISTEN_FD", "0"));
        command.environment().putAll(environment);
        process = command.start();
        output = new Program.Output(process);
        address = new InetSocketAddress(InetAddress.getLoopbackAddress(),
                Integer.parseInt(output.line("^port ").substring("port ".length())));
    }

    void start() throws IOException {
        say("start");
    }

    /** Signals the program that was started first of those still there. */
    void endFirst() throws IOException {
        say("end");
    }

    private void say(String word) throws IOException {
        process.getOutputStream().write((word + "\n").getBytes(StandardCharsets.US_ASCII));
        process.getOutputStream().flush();
    }

    String line(String pattern) {
        return output.line(pattern);
    }

    Wire client() throws IOException {
        return Wire.to(address);
    }

    @Override
    public void close() throws IOException {
        process.getOutputStream().close();
        process.onExit().join();
    }
}

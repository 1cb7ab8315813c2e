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
 * Holds a listening socket and starts proxies that inherit it as descriptor 0, as the platform does (socket activation). A JVM can't
 * pass a socket on, so a few lines of Perl, which is part of every Debian system, hold the socket and start a proxy for each line
 * that they read.
 */
final class SocketActivator implements Closeable {
    private static final String SOCKET_HOLDER = """
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
    private final ServeProcess.ProcessOutput output;
    private final InetSocketAddress address;

    SocketActivator(Path dir, ObjectNode config) throws IOException {
        this(dir, config, Map.of());
    }

    /** Opens the socket. {@code environment} is added to the environment of every proxy. */
    SocketActivator(Path dir, ObjectNode config, Map<String, String> environment) throws IOException {
        Path file = Files.writeString(dir.resolve("config.json"), config.toString());
        var command = new ProcessBuilder("perl", "-e", SOCKET_HOLDER);
        command.command().addAll(ServeProcess.SERVE);
        command.redirectErrorStream(true).environment().putAll(Map.of("PROXY_CONFIG", file.toString(),
                "TMPDIR", dir.toString(), "PROXY_LISTEN_FD", "0"));
        command.environment().putAll(environment);
        process = command.start();
        output = new ServeProcess.ProcessOutput(process);
        address = new InetSocketAddress(InetAddress.getLoopbackAddress(),
                Integer.parseInt(output.waitForLine("^port ").substring("port ".length())));
    }

    /** Starts one more proxy. */
    void startProxy() throws IOException {
        send("start");
    }

    /** Sends SIGTERM to the proxy that was started first of those that have not got it yet. */
    void terminateOldest() throws IOException {
        send("end");
    }

    private void send(String word) throws IOException {
        process.getOutputStream().write((word + "\n").getBytes(StandardCharsets.US_ASCII));
        process.getOutputStream().flush();
    }

    /** Waits for a log line of any proxy in which a pattern is found. */
    String waitForLine(String pattern) {
        return output.waitForLine(pattern);
    }

    /** Connects to the socket as a client. */
    RawConnection client() throws IOException {
        return RawConnection.connect(address);
    }

    @Override
    public void close() throws IOException {
        process.getOutputStream().close();
        process.onExit().join();
    }
}

package walkpost.lab.play;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import walkpost.lab.process.Child;
import walkpost.lab.process.Program;
import walkpost.lab.process.ProxySettings;
import walkpost.lab.scenario.Scenario;

/**
 * What a start costs: the processor time a proxy has used, and the memory it holds, at the moment it takes its first
 * connection. Discovery is not there; the list it knows has to do.
 *
 * @param cpuUs of the threads there are then
 */
public record StartCost(long cpuUs, long memoryKb) {
    private static final long LOOK_NS = 2_000_000;
    private static final long MOST_NS = 30_000_000_000L;
    private static final String HOST = "127.0.7.1";

    /**
     * Starts a program once and ends it.
     *
     * @throws IOException if it can't be started, or does not listen in time
     */
    public static StartCost measure(Program program, Scenario scenario, Path folder) throws IOException {
        Files.createDirectories(folder);
        InetSocketAddress listen = free();
        Path config = folder.resolve("config.json");
        Files.writeString(config, ProxySettings.of(scenario, 0, listen, free(), known(scenario), 1).toString());
        Path log = folder.resolve("log");
        Child child = Child.start(program, 0, Map.of("PROXY_CONFIG", config.toString(), "TMPDIR", folder.toString(), "PROXY_NAME", "n0"), log);
        try {
            for (long latest = System.nanoTime() + MOST_NS; System.nanoTime() < latest && child.alive(); LockSupport.parkNanos(LOOK_NS)) {
                if (taken(listen)) {
                    long cpuUs = child.threadsUs();
                    Child.Use use = child.use();
                    if (use != null && cpuUs >= 0) {
                        return new StartCost(cpuUs, use.memoryKb());
                    }
                }
            }
            throw new IOException(program.name() + " does not listen: " + child.lastWords());
        } finally {
            child.kill();
        }
    }

    private static InetSocketAddress free() throws IOException {
        try (var socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    private static boolean taken(InetSocketAddress address) {
        try (var socket = new Socket()) {
            socket.connect(address, 100);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private static ObjectNode known(Scenario scenario) {
        ObjectNode known = JsonNodeFactory.instance.objectNode().put("version", 41).put("full", true);
        ArrayNode servers = known.putArray("servers");
        for (int i = 0; i < scenario.servers(); i++) {
            servers.addObject().put("id", "s" + i).put("addr", HOST + ":9").put("zone", "a").put("kind", "m").put("cell", 0)
                    .put("state", "ready").put("weight", 1).put("started_ms", 0);
        }
        return known;
    }
}

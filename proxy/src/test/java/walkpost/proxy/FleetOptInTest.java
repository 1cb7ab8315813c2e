package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks on the running program that the fleet's classes are loaded, and the fleet joined, only if its file is configured. */
class FleetOptInTest {
    private static final String LOG_CLASS_LOADING = "-Xlog:class+load";

    @TempDir
    private Path dir;

    private Map<String, String> fleet(String bind) throws Exception {
        return fleet(bind, "");
    }

    private Map<String, String> fleet(String bind, String moreLines) throws Exception {
        Files.writeString(dir.resolve("fleet.key"), "a secret of 16 bytes, and more");
        Path file = Files.writeString(dir.resolve("fleet.toml"), """
                format = 1
                cluster = "gent"
                bind = "%s"
                members = ["n0"]
                seeds = []
                secret = "fleet.key"
                %s
                """.formatted(bind, moreLines));
        return Map.of(ProcessEnvironment.FLEET_VARIABLE, file.toString());
    }

    private static ObjectNode config() throws Exception {
        return ProxyFixture.config();
    }

    private List<String> start(Map<String, String> environment) throws Exception {
        try (var program = new ServeProcess(dir, config(), environment, LOG_CLASS_LOADING)) {
            List<String> lines = program.linesUpTo(" INFO serve listening ");
            assertThat(lines).anyMatch(line -> line.contains("walkpost.proxy.Serve "));
            assertThat(lines.get(lines.size() - 1)).contains(" INFO serve listening ");
            return lines;
        }
    }

    @Test
    void loadsNoFleetClassesIfTheFleetIsOff() throws Exception {
        assertThat(start(Map.of())).noneMatch(line -> line.contains("walkpost.fleet.") || line.contains("ProxyFleetMember"));
    }

    @Test
    void joinsTheFleetIfItsFileIsConfigured() throws Exception {
        assertThat(start(fleet("127.0.0.1:0"))).anyMatch(line -> line.contains("walkpost.fleet.shell.Fleet "))
                .noneMatch(line -> line.contains("walkpost.fleet.observe.") && !line.contains("walkpost.fleet.observe.ObserveMessage"));
    }

    @Test
    void exitsWithTheReasonIfTheFleetFileIsInvalid() throws Exception {
        try (var program = new ServeProcess(dir, config(), fleet("nowhere"))) {
            assertThat(program.waitForLine("bad_configuration")).contains("WALKPOST_FLEET").contains("fleet.toml").contains("bind");
            assertThat(program.exitStatus()).isEqualTo(2);
        }
    }

    @Test
    void exitsWithTheReasonIfTheFleetAddressIsInUse() throws Exception {
        try (var tcp = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                var udp = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), tcp.getLocalPort()));
                var program = new ServeProcess(dir, config(), fleet("127.0.0.1:" + udp.getLocalPort()))) {
            assertThat(program.waitForLine("bad_configuration")).contains("WALKPOST_FLEET").contains("can't listen at");
            assertThat(program.exitStatus()).isEqualTo(2);
        }
    }

    /** Both processes of an upgrade are the same member, so the orders' directory belongs to the old process until that ends. */
    @Test
    void theNewProcessBecomesTheMemberOnceTheOldOneHasEnded() throws Exception {
        try (var server = new FakeServer(); var discovery = new FakeServer(); var platform = new SocketActivator(dir,
                UpgradeTest.config(server, discovery), fleet("127.0.0.1:0", "directory = \"orders\""))) {
            discovery.answerAll(FakeServer.okResponse(ProxyFixture.serverList(42, true,
                    ProxyFixture.serverEntry("s0", server.address(), "ready"))));
            platform.startProxy();
            assertThat(platform.waitForLine("fleet_started|joins_later")).contains("fleet_started");
            platform.waitForLine("listening proxy=n0 socket=inherited");
            platform.startProxy();
            assertThat(platform.waitForLine("fleet_started|joins_later")).contains("joins_later").contains("in use");
            platform.waitForLine("listening proxy=n0 socket=inherited");
            platform.terminateOldest();
            assertThat(platform.waitForLine("fleet_started")).contains("member=n0");
        }
    }
}

package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a real process answers every client and loses no answer of discovery while its system calls fail for a moment. */
@Timeout(60)
class SystemCallFaultsTest {
    /** The length of an answer that is too long to be buffered whole. */
    private static final int LONG_ANSWER_BYTES = 200_000;

    @TempDir
    private Path dir;
    private final FakeServer discovery;
    private final FakeServer server;

    SystemCallFaultsTest() throws IOException {
        discovery = new FakeServer();
        server = new FakeServer();
    }

    private ServeProcess startProxy(SystemCallFaults faults) throws IOException {
        ObjectNode config = ProxyFixture.config();
        config.put("discovery", discovery.address());
        String entry = ProxyFixture.serverEntry("s0", server.address(), "ready");
        config.set("known", Config.JSON.readTree(ProxyFixture.serverList(41, true, entry)));
        return new ServeProcess(dir, config, faults.environment());
    }

    private static RawConnection client(ServeProcess process) throws IOException {
        String line = process.waitForLine("listening");
        int port = Integer.parseInt(line.replaceAll(".*port=(\\d+).*", "$1"));
        return RawConnection.connect(new InetSocketAddress("127.0.0.1", port));
    }

    private String listWithDrainingServer() {
        return FakeServer.okResponse(ProxyFixture.serverList(42, true, ProxyFixture.serverEntry("s0", server.address(), "draining")));
    }

    @ParameterizedTest
    @ValueSource(strings = {"EMFILE", "ENOBUFS"})
    void callsDiscoveryAgainDespiteAFailedSocketCall(String error) throws Exception {
        var faults = new SystemCallFaults(dir, "socket=" + error + ";most=1");
        try (ServeProcess process = startProxy(faults)) {
            RawConnection call = discovery.accept();
            call.read();
            faults.arm();
            call.send(FakeServer.okResponse(ProxyFixture.serverList(42, true)));
            assertThat(discovery.accept().read().first()).contains("from=42&");
            assertThat(faults.injected()).hasSize(1);
            process.signal("KILL");
            assertThat(process.linesUpTo("no such line")).noneMatch(line -> line.contains("asked_again"));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"EHOSTUNREACH", "ETIMEDOUT", "EINTR", "SHORT"})
    void readsDiscoverysAnswerDespiteAFailedRead(String error) throws Exception {
        var faults = new SystemCallFaults(dir, "read=" + error + ";most=1");
        try (ServeProcess process = startProxy(faults)) {
            RawConnection call = discovery.accept();
            call.read();
            faults.arm();
            call.send(listWithDrainingServer());
            assertThat(discovery.accept().read().first()).contains("from=42&");
            assertThat(faults.injected()).hasSize(1);
            assertThat(process.hasEnded()).isFalse();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"EHOSTUNREACH", "EINTR"})
    void answersARequestDespiteAFailedReadFromItsClient(String error) throws Exception {
        var faults = new SystemCallFaults(dir, "read=" + error + ";most=1");
        server.answerAll(FakeServer.okResponse("served"));
        try (ServeProcess process = startProxy(faults); RawConnection client = client(process)) {
            String request = ProxyFixture.get("r1");
            client.send(request.substring(0, 20));
            faults.arm();
            client.send(request.substring(20));
            assertThat(client.read().body()).isEqualTo("served");
            assertThat(faults.injected()).hasSize(1);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"ENOBUFS", "SHORT"})
    void answersARequestDespiteFailedWrites(String error) throws Exception {
        var faults = new SystemCallFaults(dir, "write=" + error + ";most=2");
        BlockingQueue<RawConnection.Message> attempts = server.answerAll(FakeServer.okResponse("served"));
        try (ServeProcess process = startProxy(faults); RawConnection client = client(process)) {
            faults.arm();
            client.send(ProxyFixture.post("r1", "a body"));
            assertThat(client.read().body()).isEqualTo("served");
            assertThat(attempts).extracting(RawConnection.Message::body).containsExactly("a body");
            assertThat(faults.injected()).hasSize(2);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"ENOBUFS", "EHOSTUNREACH"})
    void deliversAnAnswerDespiteAFailedWrite(String error) throws Exception {
        var faults = new SystemCallFaults(dir, "write=" + error + ";most=1");
        try (ServeProcess process = startProxy(faults); RawConnection client = client(process)) {
            client.send(ProxyFixture.get("r1"));
            RawConnection attempt = server.accept();
            attempt.read();
            faults.arm();
            attempt.send(FakeServer.okResponse("served"));
            assertThat(client.read().body()).isEqualTo("served");
            assertThat(faults.injected()).hasSize(1);
        }
    }

    @Test
    void reportsATruncatedAnswerOfUnknownLength() throws Exception {
        var faults = new SystemCallFaults(dir, "read=ETIMEDOUT;most=1");
        try (ServeProcess process = startProxy(faults); RawConnection client = client(process)) {
            client.send(ProxyFixture.get("r1"));
            RawConnection attempt = server.accept();
            attempt.read();
            attempt.send("HTTP/1.1 200 OK\r\n\r\n" + "x".repeat(LONG_ANSWER_BYTES));
            assertThat(client.readHead().header("Transfer-Encoding")).isEqualTo("chunked");
            client.skip(LONG_ANSWER_BYTES);
            faults.arm();
            attempt.close();
            faults.await(1);
            assertThatThrownBy(client::readToEnd).isInstanceOf(IOException.class);
            assertThat(process.hasEnded()).isFalse();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"socket=EMFILE", "bind=ENOMEM", "listen=ENOMEM"})
    void startsDespiteFailedCalls(String call) throws Exception {
        var faults = new SystemCallFaults(dir, call + ";most=3");
        faults.arm();
        try (ServeProcess process = startProxy(faults); RawConnection client = client(process)) {
            client.send("GET /ready HTTP/1.1\r\n\r\n");
            assertThat(client.read()).isNotNull();
            assertThat(process.hasEnded()).isFalse();
            assertThat(faults.injected()).hasSize(3);
        }
    }

    @Test
    void startsDespiteFailedReadsOfItsConfiguration() throws Exception {
        var faults = new SystemCallFaults(dir, "open_read=EMFILE;path=config.json;most=2");
        faults.arm();
        try (ServeProcess process = startProxy(faults)) {
            assertThat(process.waitForLine("listening")).isNotNull();
            assertThat(faults.injected()).hasSize(2);
        }
    }

    @Test
    void reloadsItsConfigurationDespiteFailedReads() throws Exception {
        var faults = new SystemCallFaults(dir, "open_read=EIO;path=config.json;most=2");
        try (var next = new FakeServer(); ServeProcess process = startProxy(faults)) {
            discovery.accept().read();
            process.waitForLine("listening");
            process.writeConfig(ProxyFixture.config().put("discovery", next.address()));
            faults.arm();
            process.signal("HUP");
            assertThat(next.accept().read().first()).contains("/v1/endpoints");
            assertThat(faults.injected()).hasSize(2);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"wakeup_write=EIO", "wakeup_read=EIO"})
    void servesUntilTheEndOfAShutdownDespiteFailedWakeups(String call) throws Exception {
        var faults = new SystemCallFaults(dir, call + ";most=2");
        server.answerAll(FakeServer.okResponse("served"));
        try (ServeProcess process = startProxy(faults); RawConnection client = client(process)) {
            client.send(ProxyFixture.get("r1"));
            assertThat(client.read().status()).isEqualTo(200);
            faults.arm();
            process.signal("TERM");
            assertThat(process.waitForLine("draining")).isNotNull();
            client.send(ProxyFixture.get("r2"));
            assertThat(client.read().status()).isEqualTo(200);
            assertThat(process.waitForLine("drained|ends_with_clients")).isNotNull();
            assertThat(process.exitStatus()).isZero();
        }
    }
}

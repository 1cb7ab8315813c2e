package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import walkpost.Balancer.Arrival;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What crosses the end of a proxy whose deadlines are so short that there is hardly time for it. */
class ShutdownTest {
    @TempDir
    private Path temp;
    private Peer backend;
    private Peer discovery;
    private Serve serve;

    @BeforeEach
    void begin() throws Exception {
        backend = new Peer();
        discovery = new Peer();
        serve = new Serve(Config.parse(config(100_000)), new Surroundings(null, temp, null, null),
                (now, event, actions) -> Fixture.sendTo("s0").handle(event, actions));
        serve.begin();
    }

    @AfterEach
    void end() throws Exception {
        serve.stop();
        backend.close();
        discovery.close();
    }

    private ObjectNode config(long deadlineUs) throws Exception {
        ObjectNode config = UpgradeTest.config(backend, discovery);
        for (JsonNode profile : config.path("settings").path("profiles")) {
            ((ObjectNode) profile).put("deadline_us", deadlineUs).put("aim_us", 50_000);
        }
        return config;
    }

    private CompletableFuture<Void> drain() {
        return CompletableFuture.runAsync(serve::drain);
    }

    /** While new clients come, those that are there stay as well: no deadline is so short that they are sent off. */
    @Test
    void idleClientsStayUntilNobodyNewComes() throws Exception {
        InetSocketAddress address = serve.listen();
        try (var idle = Wire.to(address)) {
            idle.send("GET /other HTTP/1.1\r\n\r\n").read();
            CompletableFuture<Void> drained = drain();
            assertThat(idle.ended()).isTrue();
            assertThatThrownBy(() -> Wire.to(address)).isInstanceOf(IOException.class);
            drained.get(10, TimeUnit.SECONDS);
        }
    }

    /** One that came before the signal, with more time than there is left now, is answered all the same. */
    @Test
    void whatWasTakenBeforeIsAnsweredBeforeTheEnd() throws Exception {
        try (var client = Wire.to(serve.listen())) {
            client.send(Fixture.get("r1").replace("1900m", "9000m"));
            backend.accept().read();
            drain().get(10, TimeUnit.SECONDS);
            // The process ends here: what is not written by now never is.
            serve.stop();
            Wire.Message answer = client.read();
            assertThat(answer.status()).isEqualTo(502);
            assertThat(answer.header("Connection")).isEqualTo("close");
            assertThat(client.ended()).isTrue();
        }
    }

    /** To end before it could begin is to begin never. */
    @Test
    void nobodyIsTakenInAfterTheEnd() throws Exception {
        serve.drain();
        assertThat(serve.listen()).isNull();
    }

    /** Neither a good file nor a bad one has it stay for longer, or fail. */
    @Test
    void aNewConfigurationChangesNothingOfTheEnd() throws Exception {
        try (var client = Wire.to(serve.listen())) {
            CompletableFuture<Void> drained = drain();
            serve.reconfigure(Files.writeString(temp.resolve("good"), config(60_000_000).toString()));
            serve.reconfigure(Files.writeString(temp.resolve("bad"), "{"));
            client.send(Fixture.get("r1").replace("1900m", "9000m"));
            assertThat(client.read().status()).isEqualTo(502);
            assertThat(client.ended()).isTrue();
            drained.get(10, TimeUnit.SECONDS);
        }
    }

    /** Signals that come again or beside each other neither put the end off nor bring it forward. */
    @Test
    void furtherSignalsChangeNothingOfTheEnd(@TempDir Path dir) throws Exception {
        try (var program = new Program(dir, config(100_000))) {
            String listening = program.line("listening proxy");
            int port = Integer.parseInt(listening.replaceAll(".*port=", ""));
            try (var client = Wire.to(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))) {
                client.send(Fixture.get("r1").replace("1900m", "9000m"));
                backend.accept().read();
                program.signal("TERM");
                program.line("draining");
                program.signal("TERM");
                program.signal("HUP");
                assertThat(client.read().status()).isGreaterThanOrEqualTo(500);
                assertThat(client.ended()).isTrue();
                assertThat(program.linesUpTo("drained|ends_with_clients")).noneMatch(line -> line.contains("draining"));
                assertThat(program.status()).isZero();
            }
        }
    }

    /** The system resets whoever waits in the queue of a socket that is closed; they have connected all the same. */
    @Test
    void whoeverWaitsToBeAcceptedIsServedBeforeTheEnd() throws Exception {
        var crowd = new ArrayList<Wire>();
        try (var server = new Peer(); var proxy = new Fixture((event, actions) -> {
            if (event instanceof Arrival a && a.id().equals("last")) {
                Fixture.sendTo("s0").handle(event, actions);
            }
        }, 128, 15_000_000, server)) {
            server.always(Peer.ok("x"));
            for (int i = 0; i < 20; i++) {
                crowd.add(proxy.client().send(Fixture.get("r" + i).replace("1900m", "60000m")));
                proxy.next(Arrival.class);
            }
            crowd.add(proxy.client().send(Fixture.get("last")));
            CompletableFuture.runAsync(proxy::drain);
            assertThat(crowd.get(20).read().body()).isEqualTo("x");
        } finally {
            for (Wire client : crowd) {
                client.close();
            }
        }
    }

    /** Half a request has been read behind one whose answer is to be the last: then that answer is not the last. */
    @Test
    void aRequestThatHasBegunIsAnsweredBeforeItsConnectionEnds() throws Exception {
        try (var server = new Peer();
                var socket = ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                var proxy = Fixture.sharing(socket, Fixture.sendTo("s0"), temp, server); var client = proxy.client()) {
            String second = Fixture.get("r2");
            client.send(Fixture.get("r1") + second.substring(0, 10));
            Wire attempt = server.accept();
            attempt.read();
            CompletableFuture<Void> drained = CompletableFuture.runAsync(proxy::drain);
            while (socket.isOpen()) {
                Thread.onSpinWait();
            }
            attempt.send(Peer.ok("one"));
            assertThat(client.read().body()).isEqualTo("one");
            client.send(second.substring(10));
            attempt.read();
            attempt.send(Peer.ok("two"));
            Wire.Message answer = client.read();
            assertThat(answer.body()).isEqualTo("two");
            assertThat(answer.header("Connection")).isEqualTo("close");
            assertThat(client.ended()).isTrue();
            drained.get(10, TimeUnit.SECONDS);
        }
    }
}

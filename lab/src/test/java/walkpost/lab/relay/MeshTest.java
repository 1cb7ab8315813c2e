package walkpost.lab.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import walkpost.lab.ledger.Seen;
import walkpost.lab.net.Loops;
import walkpost.lab.net.PlayClock;
import walkpost.lab.scenario.Streams;

/** Three members on sockets of their own, which know only the mesh's addresses of each other. */
@Timeout(60)
final class MeshTest {
    private final Loops loops = new Loops(Seen.Part.CLIENTS, 1);
    private final List<DatagramSocket> datagrams = new ArrayList<>();
    private final List<ServerSocket> listeners = new ArrayList<>();
    private Mesh mesh;

    @BeforeEach
    void open() throws Exception {
        var members = new ArrayList<InetSocketAddress>();
        for (int i = 0; i < 3; i++) {
            InetAddress host = InetAddress.getByName("127.90.0." + (1 + i));
            var listener = new ServerSocket(0, 10, host);
            listeners.add(listener);
            datagrams.add(new DatagramSocket(new InetSocketAddress(host, listener.getLocalPort())));
            members.add((InetSocketAddress) listener.getLocalSocketAddress());
        }
        begin(members, Conditions.IDEAL);
    }

    private void begin(List<InetSocketAddress> members, Conditions conditions) throws Exception {
        mesh = new Mesh(loops.of(0), new PlayClock(), new Streams(5), conditions, members);
        Loops.on(loops.of(0), () -> {
            mesh.open(List.of("127.91.0.1", "127.91.0.2", "127.91.0.3"));
            return null;
        });
    }

    @AfterEach
    void close() throws IOException {
        on(mesh::close);
        loops.close();
        datagrams.forEach(DatagramSocket::close);
        for (ServerSocket listener : listeners) {
            listener.close();
        }
    }

    private void on(Runnable what) {
        Loops.run(loops.of(0), what);
    }

    private InetSocketAddress address(int member) throws Exception {
        return Loops.on(loops.of(0), () -> mesh.address(member));
    }

    private void send(int from, int to, String text) throws Exception {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        datagrams.get(from).send(new DatagramPacket(bytes, bytes.length, address(to)));
    }

    private DatagramPacket received(int member) throws IOException {
        var packet = new DatagramPacket(new byte[100], 100);
        datagrams.get(member).receive(packet);
        return packet;
    }

    private static String text(DatagramPacket packet) {
        return new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8);
    }

    private Socket connected(int from, int to) throws Exception {
        var socket = new Socket();
        socket.bind(new InetSocketAddress(datagrams.get(from).getLocalAddress(), 0));
        socket.connect(address(to));
        return socket;
    }

    private void awaitUnderWay(int from, int to, int bytes) throws Exception {
        while (Loops.on(loops.of(0), () -> mesh.underWay(from, to)) != bytes) {
            Thread.onSpinWait();
        }
    }

    @Test
    void aDatagramComesFromTheAddressThatItsSenderIsReachedAt() throws Exception {
        send(0, 1, "ping");
        DatagramPacket ping = received(1);
        assertThat(text(ping)).isEqualTo("ping");
        assertThat(ping.getSocketAddress()).isEqualTo(address(0));
        byte[] pong = "pong".getBytes(StandardCharsets.UTF_8);
        datagrams.get(1).send(new DatagramPacket(pong, pong.length, ping.getSocketAddress()));
        assertThat(text(received(0))).isEqualTo("pong");
    }

    @Test
    void aPartitionCutsOnlyBetweenItsGroupsAndHeals() throws Exception {
        on(() -> mesh.part(Set.of(0, 1), Set.of(2)));
        send(0, 2, "lost");
        send(2, 0, "lost too");
        send(0, 1, "within");
        assertThat(text(received(1))).isEqualTo("within");
        on(mesh::heal);
        // A socket hands out what comes to it in order, so what was sent before would have come before.
        send(0, 2, "after");
        send(2, 0, "after too");
        assertThat(text(received(2))).isEqualTo("after");
        assertThat(text(received(0))).isEqualTo("after too");
    }

    @Test
    void aSilenceMayBeOneWay() throws Exception {
        on(() -> mesh.silence(0, 1, true));
        send(0, 1, "lost");
        send(2, 1, "from another");
        assertThat(text(received(1))).isEqualTo("from another");
        send(1, 0, "the other way");
        assertThat(text(received(0))).isEqualTo("the other way");
    }

    @Test
    void whoeverIsNoMemberReachesNobody() throws Exception {
        try (var stranger = new DatagramSocket(new InetSocketAddress("127.90.0.9", 0))) {
            stranger.send(new DatagramPacket(new byte[] {1}, 1, address(1)));
            while (Loops.on(loops.of(0), mesh::unknown) == 0) {
                Thread.onSpinWait();
            }
        }
        send(0, 1, "from a member");
        assertThat(text(received(1))).isEqualTo("from a member");
    }

    @Test
    void aConnectionPassesBytesBothWaysAndEachEndOnItsOwn() throws Exception {
        try (Socket out = connected(0, 1); Socket in = listeners.get(1).accept()) {
            assertThat(in.getInetAddress()).isEqualTo(address(0).getAddress());
            out.getOutputStream().write("question".getBytes(StandardCharsets.UTF_8));
            out.shutdownOutput();
            assertThat(new String(in.getInputStream().readAllBytes(), StandardCharsets.UTF_8)).isEqualTo("question");
            in.getOutputStream().write("answer".getBytes(StandardCharsets.UTF_8));
            in.shutdownOutput();
            assertThat(new String(out.getInputStream().readAllBytes(), StandardCharsets.UTF_8)).isEqualTo("answer");
        }
    }

    @Test
    void bytesThatASilenceHeldBackFollowInOrder() throws Exception {
        try (Socket out = connected(0, 1); Socket in = listeners.get(1).accept()) {
            on(() -> mesh.silence(0, 1, true));
            out.getOutputStream().write("held".getBytes(StandardCharsets.UTF_8));
            awaitUnderWay(0, 1, 4);
            in.getOutputStream().write('!');
            assertThat(out.getInputStream().read()).isEqualTo('!');
            on(mesh::heal);
            out.getOutputStream().write(" back".getBytes(StandardCharsets.UTF_8));
            out.shutdownOutput();
            assertThat(new String(in.getInputStream().readAllBytes(), StandardCharsets.UTF_8)).isEqualTo("held back");
        }
    }

    @Test
    void aResetEndsBothSidesAndWhatWasUnderWayIsLost() throws Exception {
        try (Socket out = connected(0, 1); Socket in = listeners.get(1).accept()) {
            on(() -> mesh.silence(0, 1, true));
            out.getOutputStream().write("lost".getBytes(StandardCharsets.UTF_8));
            awaitUnderWay(0, 1, 4);
            on(() -> mesh.reset(1, 0));
            assertThatThrownBy(() -> in.getInputStream().read()).isInstanceOf(SocketException.class);
            assertThatThrownBy(() -> out.getInputStream().read()).isInstanceOf(SocketException.class);
        }
    }

    @Test
    void aConnectionOpenedDuringASilenceReachesItsMemberAfterIt() throws Exception {
        on(() -> mesh.part(Set.of(0), Set.of(1)));
        try (Socket out = connected(0, 1)) {
            out.getOutputStream().write("late".getBytes(StandardCharsets.UTF_8));
            out.shutdownOutput();
            awaitUnderWay(0, 1, 4);
            // Whoever connects from elsewhere comes first.
            try (Socket other = connected(2, 1); Socket first = listeners.get(1).accept()) {
                assertThat(first.getInetAddress()).isEqualTo(address(2).getAddress());
                assertThat(other.isConnected()).isTrue();
            }
            on(mesh::heal);
            try (Socket in = listeners.get(1).accept()) {
                assertThat(new String(in.getInputStream().readAllBytes(), StandardCharsets.UTF_8)).isEqualTo("late");
            }
        }
    }

    @Test
    void aBodyLargerThanWhatIsHeldPassesWhole() throws Exception {
        on(mesh::close);
        begin(List.of((InetSocketAddress) listeners.get(0).getLocalSocketAddress(),
                (InetSocketAddress) listeners.get(1).getLocalSocketAddress()), new Conditions(300, 200, 50_000_000, 0, 0));
        byte[] sent = new byte[3_000_000];
        new java.util.Random(1).nextBytes(sent);
        try (Socket out = connected(0, 1); Socket in = listeners.get(1).accept()) {
            var writer = new Thread(() -> {
                try {
                    out.getOutputStream().write(sent);
                    out.shutdownOutput();
                } catch (IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            });
            writer.start();
            byte[] got = in.getInputStream().readAllBytes();
            assertThat(got).hasSize(sent.length);
            assertThat(java.util.Arrays.equals(got, sent)).isTrue();
            writer.join();
        }
    }

    @Test
    void twoMembersOnOneHostAreRefused() {
        var host = new InetSocketAddress("127.90.0.1", 1);
        assertThatThrownBy(() -> new Mesh(loops.of(0), new PlayClock(), new Streams(1), Conditions.IDEAL, List.of(host, host)))
                .isInstanceOf(IllegalArgumentException.class);
    }
}

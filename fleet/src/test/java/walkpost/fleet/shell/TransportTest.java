package walkpost.fleet.shell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import walkpost.fleet.FleetException.AddressTaken;
import walkpost.fleet.member.Address;

/** The sockets, over loopback at ports that are free. Waits end with what is waited for; their bounds only end a failed test. */
final class TransportTest {
    private static final int FAILED_S = 30;
    private static final Address ANY = Loopback.ANY;

    private final List<AutoCloseable> open = new ArrayList<>();
    private final BlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
    private final Counters counters = new Counters();
    private final FleetThreads threads = new FleetThreads(1, 1);

    private Transport transport(Address at) throws AddressTaken {
        var transport = new Transport(threads.loop(), at, received::add, counters);
        open.add(transport);
        return transport;
    }

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable one : open) {
            one.close();
        }
        threads.close();
    }

    private Socket connected(Transport to) throws IOException {
        var socket = new Socket();
        open.add(socket);
        socket.connect(new InetSocketAddress(to.bound().host(), to.bound().port()));
        socket.setSoTimeout(FAILED_S * 1_000);
        return socket;
    }

    private static byte[] message(int length) {
        byte[] message = new byte[length];
        Arrays.fill(message, (byte) 7);
        return message;
    }

    @Test
    void shortMessagesGoByDatagramAndLongOnesOverOneConnection() throws Exception {
        Transport from = transport(ANY);
        Transport to = transport(ANY);
        from.send(to.bound(), message(Transport.MOST_DATAGRAM), false);
        assertThat(received.poll(FAILED_S, TimeUnit.SECONDS)).isEqualTo(message(Transport.MOST_DATAGRAM));
        for (int length : new int[] {Transport.MOST_DATAGRAM + 1, Codec.MOST, 1}) {
            from.send(to.bound(), message(length), true);
            assertThat(received.poll(FAILED_S, TimeUnit.SECONDS)).isEqualTo(message(length));
        }
        assertThat(counters.get("messages_out")).isEqualTo(4);
        assertThat(counters.get("messages_in")).isEqualTo(4);
    }

    @Test
    void whatCannotBeSentIsCounted() throws Exception {
        Transport from = transport(ANY);
        from.send(new Address("n2.example", 7401), message(1), false);
        from.send(new Address("127.0.0.1", 0), message(1), false);
        from.loop().submit(() -> { }).sync();
        assertThat(counters.get("dropped_no_address")).isEqualTo(2);
    }

    @Test
    void aPeerThatReadsNothingCostsNoMoreThanTheBound() throws Exception {
        Transport from = transport(ANY);
        try (var silent = new ServerSocket(0, 1, InetAddress.getByName(ANY.host()))) {
            var to = new Address(ANY.host(), silent.getLocalPort());
            for (int i = 0; i < 64; i++) {
                from.send(to, message(Codec.MOST), true);
            }
            from.loop().submit(() -> { }).sync();
            assertThat(counters.get("dropped_slow_peer")).isBetween(30L, 63L);
        }
    }

    @Test
    void anAddressThatIsTakenIsToldAndNothingIsHeld() throws Exception {
        Transport first = transport(ANY);
        assertThatThrownBy(() -> transport(first.bound())).isInstanceOf(AddressTaken.class)
                .hasMessageContaining(first.bound() + " (TCP");
        Address half;
        try (var datagrams = new DatagramSocket(new InetSocketAddress(ANY.host(), 0))) {
            half = new Address(ANY.host(), datagrams.getLocalPort());
            assertThatThrownBy(() -> transport(half)).isInstanceOf(AddressTaken.class).hasMessageContaining(half + " (UDP");
        }
        assertThat(transport(half).bound()).isEqualTo(half);
    }

    @Test
    void whoComesToAFullHouseTakesThePlaceOfTheOneThereLongest() throws Exception {
        Transport to = transport(ANY);
        var sockets = new ArrayList<Socket>();
        for (int i = 0; i <= Transport.MOST_INBOUND; i++) {
            sockets.add(connected(to));
            sockets.get(i).getOutputStream().write(new byte[] {0, 0, 0, 1, 7});
        }
        assertThat(sockets.get(0).getInputStream().read()).isEqualTo(-1);
        assertThat(counters.get("connections_crowded_out")).isOne();
    }

    @Test
    void closingGivesBackThePort() throws Exception {
        Transport first = transport(ANY);
        Socket peer = connected(first);
        peer.getOutputStream().write(new byte[] {0, 0, 0, 1, 7});
        assertThat(received.poll(FAILED_S, TimeUnit.SECONDS)).as("it has been taken in").containsExactly(7);
        first.close();
        assertThat(peer.getInputStream().read()).isEqualTo(-1);
        peer.close();
        assertThat(transport(first.bound()).bound()).isEqualTo(first.bound());
    }
}

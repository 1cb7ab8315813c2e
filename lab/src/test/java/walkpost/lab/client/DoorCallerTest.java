package walkpost.lab.client;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import walkpost.lab.ledger.Ledger;
import walkpost.lab.ledger.LedgerReader;
import walkpost.lab.ledger.Seen;
import walkpost.lab.net.Loops;
import walkpost.lab.net.PlayClock;
import walkpost.lab.net.Stage;

/** Calls at a door that the test keeps. */
@Timeout(60)
final class DoorCallerTest {
    private static final long LONG_MS = 50_000;

    @TempDir
    private Path dir;
    private final AtomicLong numbers = new AtomicLong();

    /** A door that says one thing to whoever calls, or hangs up where that is empty; returns what the caller is told. */
    private Seen.DoorAnswered called(String answer) throws Exception {
        try (var ledger = new Ledger(dir.resolve("ledger")); var loops = new Loops(Seen.Part.CLIENTS, 1);
                var door = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            var told = new CompletableFuture<Seen.DoorAnswered>();
            caller(ledger, loops, (InetSocketAddress) door.getLocalSocketAddress()).call("orders", LONG_MS, told::complete);
            try (Socket call = door.accept()) {
                var in = new BufferedReader(new InputStreamReader(call.getInputStream(), StandardCharsets.UTF_8));
                assertThat(in.readLine()).isEqualTo("orders");
                call.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
            }
            return told.get();
        }
    }

    private DoorCaller caller(Ledger ledger, Loops loops, InetSocketAddress door) {
        var stage = new Stage(null, null, null, new PlayClock(), ledger, null, null, loops, loops);
        return new DoorCaller(stage, loops.of(0), numbers, 7, door);
    }

    @Test
    void aCallAndItsAnswerStandInTheLedger() throws Exception {
        Seen.DoorAnswered answered = called("SUCCESS {}\n");
        assertThat(answered.line()).isEqualTo("SUCCESS {}");
        assertThat(LedgerReader.read(dir.resolve("ledger")).seen()).hasSize(2).last().isEqualTo(answered);
        assertThat(LedgerReader.read(dir.resolve("ledger")).seen().get(0)).isInstanceOfSatisfying(Seen.DoorCalled.class, c -> {
            assertThat(c.call()).isEqualTo(answered.call());
            assertThat(c.proxy()).isEqualTo(7);
            assertThat(c.line()).isEqualTo("orders");
        });
    }

    @Test
    void aDoorThatHangsUpInTheMiddleOfALineHasNotAnswered() throws Exception {
        assertThat(called("SUCC").whole()).isFalse();
    }

    @Test
    void aDoorThatIsNotThereIsToldOnce() throws Exception {
        InetSocketAddress nobody;
        try (var door = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            nobody = (InetSocketAddress) door.getLocalSocketAddress();
        }
        try (var ledger = new Ledger(dir.resolve("ledger")); var loops = new Loops(Seen.Part.CLIENTS, 1)) {
            var told = new CompletableFuture<Seen.DoorAnswered>();
            caller(ledger, loops, nobody).call("orders", LONG_MS, told::complete);
            assertThat(told.get().whole()).isFalse();
            assertThat(told.get().line()).startsWith("no connection");
        }
        assertThat(LedgerReader.read(dir.resolve("ledger")).seen()).hasSize(2);
    }
}

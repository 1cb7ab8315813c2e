package walkpost.fleet.shell;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ChannelException;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A connection to a peer for which no socket could be had. */
final class LinkTest {
    private static final int FAILED_S = 30;

    private final FleetThreads threads = new FleetThreads(1, 1);
    private final Counters counters = new Counters();

    @AfterEach
    void close() {
        threads.close();
    }

    @Test
    void itEndsAndDropsWhatItIsGivenInsteadOfStandingInTheWayForEver() throws Exception {
        var ended = new CountDownLatch(1);
        var link = new AtomicReference<Link>();
        InetAddress host = InetAddress.getLoopbackAddress();
        threads.loop().submit(() -> {
            link.set(new Link(threads.loop(), LinkTest::noSocket, host, new InetSocketAddress(host, 1), counters));
            link.get().onClose(ended::countDown);
            link.get().send(new byte[] {1});
        }).sync();
        assertThat(ended.await(FAILED_S, TimeUnit.SECONDS)).isTrue();
        threads.loop().submit(() -> {
            link.get().send(new byte[] {2});
            link.get().close();
        }).sync();
    }

    private static NioSocketChannel noSocket() {
        throw new ChannelException("Too many open files");
    }
}

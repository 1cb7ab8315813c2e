package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that listeners recover from an accept that fails for a moment, such as for lack of a descriptor. */
class AcceptFailureTest {
    /** Less than the second for which Netty's own listener accepts no client after a failure. */
    private static final long LESS_THAN_NETTY_PAUSE_MS = 900;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final AtomicInteger failures = new AtomicInteger();

    @AfterEach
    void stop() {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private final class FailingListener extends RetryingServerSocketChannel {
        FailingListener() {
            super(new SystemCallFailureCounter());
        }

        @Override
        SocketChannel accept() throws IOException {
            if (failures.getAndDecrement() > 0) {
                if (failures.get() == 0) {
                    loop.schedule(() -> events.add("late"), LESS_THAN_NETTY_PAUSE_MS, TimeUnit.MILLISECONDS);
                }
                throw new IOException("Too many open files");
            }
            return super.accept();
        }
    }

    private final class FailingClientsSocket extends DrainingServerSocketChannel {
        FailingClientsSocket() {
            super(new SystemCallFailureCounter());
        }

        @Override
        SocketChannel accept() throws IOException {
            if (failures.getAndDecrement() > 0) {
                throw new IOException("Too many open files");
            }
            return super.accept();
        }
    }

    private Channel listen(ChannelFactory<ServerChannel> factory) throws InterruptedException {
        return new ServerBootstrap().group(loop).channelFactory(factory).childHandler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel client) {
                events.add("accepted");
            }
        }).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).sync().channel();
    }

    @Test
    void acceptsAClientSoonAfterAFailedAccept() throws Exception {
        failures.set(3);
        var address = (InetSocketAddress) listen(FailingListener::new).localAddress();
        try (var client = new Socket(address.getAddress(), address.getPort())) {
            assertThat(events.poll(10, TimeUnit.SECONDS)).isEqualTo("accepted");
            assertThat(client.isConnected()).isTrue();
        }
    }

    @Test
    void acceptsTheQueuedClientsAndClosesDespiteFailedAccepts() throws Exception {
        failures.set(3);
        Channel listener = listen(FailingClientsSocket::new);
        listener.config().setAutoRead(false);
        var address = (InetSocketAddress) listener.localAddress();
        try (var waiting = new Socket(address.getAddress(), address.getPort())) {
            listener.close().sync();
            assertThat(events.poll(10, TimeUnit.SECONDS)).isEqualTo("accepted");
            assertThat(waiting.isConnected()).isTrue();
            // The JDK closes a socket for good only when its selector selects again, which the loop does before it runs a scheduled task.
            loop.schedule(() -> { }, 1, TimeUnit.MILLISECONDS).sync();
            assertThatThrownBy(() -> new Socket(address.getAddress(), address.getPort()).close()).isInstanceOf(ConnectException.class);
        }
    }

    @Test
    void staysPausedAfterAFailureIfAcceptingWasStopped() throws Exception {
        failures.set(1);
        var listener = (RetryingServerSocketChannel) listen(FailingListener::new);
        listener.onAcceptFailure(() -> listener.setAccepting(false));
        InetSocketAddress address = listener.localAddress();
        try (var client = new Socket(address.getAddress(), address.getPort())) {
            assertThat(events.poll(10, TimeUnit.SECONDS)).isEqualTo("late");
            assertThat(listener.config().isAutoRead()).isFalse();
            loop.submit(() -> listener.setAccepting(true)).sync();
            assertThat(events.poll(10, TimeUnit.SECONDS)).isEqualTo("accepted");
            assertThat(client.isConnected()).isTrue();
        }
    }
}

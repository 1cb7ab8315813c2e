package walkpost.lab.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.net.UnknownHostException;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * An address at which one party is reached by one other, and keeps being: open, closed (connections are refused) or deaf
 * (nothing comes up). All calls are made on its event loop.
 *
 * <p>Deaf is a listening socket whose queue is full and from which nobody accepts: the kernel then drops what would open a
 * connection, as a machine that is cut off does ({@code tcp_abort_on_overflow} being off, as it is by default).
 */
public final class Door {
    /** A backlog of 1 holds two connections; the third waits for good. */
    private static final int FILLING = 3;

    private final EventLoop loop;
    private final Consumer<SocketChannel> admit;
    private InetSocketAddress address;
    private Channel open;
    private ServerSocketChannel deaf;
    private final List<java.nio.channels.SocketChannel> filling = new ArrayList<>();

    /**
     * Creates one, closed.
     *
     * @param host a loopback address; the port is the first free one, and stays
     * @param admit sets up the pipeline of a connection
     */
    public Door(EventLoop loop, String host, Consumer<SocketChannel> admit) {
        this.loop = loop;
        this.admit = admit;
        try {
            address = new InetSocketAddress(InetAddress.getByName(host), 0);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException(e);
        }
    }

    /** Returns where it is; the port is known once it was open. */
    public InetSocketAddress address() {
        return address;
    }

    /** Opens it: connections are taken from now on. */
    public void open() {
        endDeafness();
        if (open != null) {
            return;
        }
        ChannelHandler initializer = new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                admit.accept(channel);
            }
        };
        // On its own loop a channel is registered and bound before these calls return.
        open = new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, 256)
                .childOption(ChannelOption.TCP_NODELAY, true).childHandler(initializer).register().channel();
        var bound = open.bind(address);
        if (!bound.isSuccess()) {
            throw new IllegalStateException(address + " can't be listened at", bound.cause());
        }
        address = (InetSocketAddress) open.localAddress();
    }

    /** Closes it: connections are refused from now on; those there are not touched. */
    public void close() {
        endDeafness();
        if (open != null) {
            open.close();
            open = null;
        }
    }

    /** Lets no connection come up from now on, nor be refused. */
    public void deafen() {
        close();
        try {
            deaf = ServerSocketChannel.open();
            deaf.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            deaf.bind(address, 1);
            for (int i = 0; i < FILLING; i++) {
                var filler = java.nio.channels.SocketChannel.open();
                filler.configureBlocking(false);
                filling.add(filler);
                filler.connect(address);
            }
        } catch (IOException e) {
            throw new IllegalStateException(address + " can't be made deaf", e);
        }
    }

    private void endDeafness() {
        try {
            for (var filler : filling) {
                filler.close();
            }
            filling.clear();
            if (deaf != null) {
                deaf.close();
                deaf = null;
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}

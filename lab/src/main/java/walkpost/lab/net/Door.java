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
import java.util.concurrent.TimeUnit;
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

    private static final int MOST_TRIES = 500;

    private enum State { OPEN, CLOSED, DEAF }

    private final EventLoop loop;
    private final Consumer<SocketChannel> admit;
    private InetSocketAddress address;
    private State state = State.CLOSED;
    private State wanted = State.CLOSED;
    private int tries;
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
        become(State.OPEN);
    }

    /** Closes it: connections are refused from now on; those there are not touched. */
    public void close() {
        become(State.CLOSED);
    }

    /** Lets no connection come up from now on, nor be refused. */
    public void deafen() {
        become(State.DEAF);
    }

    private void become(State next) {
        wanted = next;
        tries = 0;
        if (state != next) {
            settle();
        }
    }

    /** A channel that is registered gives its address up only once its selector has looked again; until then we try. */
    private void settle() {
        if (state == wanted) {
            return;
        }
        endDeafness();
        if (open != null) {
            open.close();
            open = null;
        }
        state = State.CLOSED;
        try {
            if (wanted == State.OPEN) {
                listen();
            } else if (wanted == State.DEAF) {
                fill();
            }
            state = wanted;
        } catch (IOException e) {
            if (++tries > MOST_TRIES) {
                throw new IllegalStateException(address + " can't be had any more", e);
            }
            loop.schedule(this::settle, 1, TimeUnit.MILLISECONDS);
        }
    }

    private void listen() throws IOException {
        ChannelHandler initializer = new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                admit.accept(channel);
            }
        };
        // On its own loop a channel is registered and bound before these calls return.
        Channel channel = new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, 256)
                .childOption(ChannelOption.TCP_NODELAY, true).childHandler(initializer).register().channel();
        var bound = channel.bind(address);
        if (!bound.isSuccess()) {
            channel.close();
            throw new IOException(bound.cause());
        }
        open = channel;
        address = (InetSocketAddress) channel.localAddress();
    }

    private void fill() throws IOException {
        deaf = ServerSocketChannel.open();
        try {
            deaf.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            deaf.bind(address, 1);
        } catch (IOException e) {
            endDeafness();
            throw e;
        }
        for (int i = 0; i < FILLING; i++) {
            var filler = java.nio.channels.SocketChannel.open();
            filler.configureBlocking(false);
            filling.add(filler);
            filler.connect(address);
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

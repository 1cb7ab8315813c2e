package walkpost.fleet.shell;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.SocketProtocolFamily;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.channels.spi.SelectorProvider;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import java.util.stream.Stream;
import walkpost.fleet.FleetException.AddressTaken;
import walkpost.fleet.member.Address;

/**
 * The sockets: datagrams and connections on one port, IPv4, all on one event loop of {@link FleetThreads}, so that nothing here holds
 * up what serves. That loop also has the membership's events and all ticks. Messages are bytes to it.
 */
final class Transport implements AutoCloseable {
    /** Bytes; longer ones go over connections, as a datagram in pieces is lost with any of them: 1,500 of Ethernet less headers of 28. */
    static final int MOST_DATAGRAM = 1_472;
    static final int MOST_INBOUND = 64;
    static final int MOST_OUTBOUND = 32;
    /** A longer datagram is none of ours and fails its check, cut. */
    private static final int DATAGRAM_ROOM = 2_048;
    private static final int DATAGRAM_BUFFER = 1 << 20;
    /** With any port asked for, one that is free over TCP may be taken over UDP. */
    private static final int TRIES = 32;
    private static final int END_S = 2;

    private final EventLoop loop;
    private final Predicate<byte[]> receiver;
    private final Counters counters;
    private final FrameMemory frameMemory;
    private final Address bound;
    private Channel server;
    private Channel datagrams;
    /** Who is connected to here, by when they came; the loop's. */
    private final Set<Channel> inbound = new LinkedHashSet<>();
    /** Whom this member is connected to, the one used last at the end; the loop's. */
    private final Map<Address, Link> links = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Takes the address and begins to receive.
     *
     * @param receiver is given messages, on the loop; returns false for one that is improper, and its connection is closed
     * @throws AddressTaken if it can't be had; nothing is held then
     */
    Transport(EventLoop loop, Address at, Predicate<byte[]> receiver, Counters counters) throws AddressTaken {
        this.loop = loop;
        this.receiver = receiver;
        this.counters = counters;
        this.frameMemory = new FrameMemory(counters);
        boolean opened = false;
        try {
            bound = bind(at);
            opened = true;
        } finally {
            if (!opened) {
                close();
            }
        }
    }

    private Address bind(Address at) throws AddressTaken {
        InetSocketAddress wanted = socketAddress(at);
        if (wanted == null) {
            throw new AddressTaken(at.toString(), "no IPv4 address in numbers");
        }
        for (int i = 1;; i++) {
            ChannelFuture listening = server(wanted).awaitUninterruptibly();
            if (!listening.isSuccess()) {
                throw new AddressTaken(at.toString(), "TCP: " + listening.cause().getMessage());
            }
            server = listening.channel();
            int port = ((InetSocketAddress) server.localAddress()).getPort();
            ChannelFuture receiving = datagrams(new InetSocketAddress(wanted.getAddress(), port)).awaitUninterruptibly();
            if (receiving.isSuccess()) {
                datagrams = receiving.channel();
                return new Address(at.host(), port);
            }
            server.close().awaitUninterruptibly();
            if (at.port() != 0 || i == TRIES) {
                throw new AddressTaken(at.toString(), "UDP: " + receiving.cause().getMessage());
            }
        }
    }

    private ChannelFuture server(InetSocketAddress at) {
        return new ServerBootstrap().group(loop)
                .channelFactory(() -> new NioServerSocketChannel(SelectorProvider.provider(), SocketProtocolFamily.INET))
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel child) {
                        accepted(child);
                    }
                }).bind(at);
    }

    private ChannelFuture datagrams(InetSocketAddress at) {
        return new Bootstrap().group(loop).channelFactory(() -> new NioDatagramChannel(SocketProtocolFamily.INET))
                .option(ChannelOption.SO_RCVBUF, DATAGRAM_BUFFER)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(DATAGRAM_ROOM))
                .handler(new Datagrams()).bind(at);
    }

    /** Returns a socket's address, or null where it is not IPv4 in numbers: there is no DNS, and none is to be waited for. */
    private static InetSocketAddress socketAddress(Address address) {
        byte[] host = NetUtil.isValidIpV4Address(address.host()) ? NetUtil.createByteArrayFromIpAddressString(address.host()) : null;
        try {
            return host == null || address.port() < 0 || address.port() > 65_535 ? null
                    : new InetSocketAddress(InetAddress.getByAddress(host), address.port());
        } catch (UnknownHostException e) {
            return null;
        }
    }

    /** Returns where it listens, its port in numbers. */
    Address bound() {
        return bound;
    }

    EventLoop loop() {
        return loop;
    }

    /** Does something on the loop; nothing once that has ended. */
    void onLoop(Runnable task) {
        try {
            loop.execute(task);
        } catch (RejectedExecutionException e) {
            counters.add("after_the_end", 1);
        } catch (InternalError e) {
            // The JDK's word for a system call that failed to wake the loop: the task is queued and waits for the next timer.
            counters.add("loop_not_woken", 1);
        }
    }

    /** Sends a message, by datagram where it fits and is not asked to go over a connection. It may get lost. Any thread may call. */
    void send(Address to, byte[] message, boolean large) {
        if (loop.inEventLoop()) {
            sendNow(to, message, large);
        } else {
            onLoop(() -> sendNow(to, message, large));
        }
    }

    private void sendNow(Address to, byte[] message, boolean large) {
        InetSocketAddress address = socketAddress(to);
        if (address == null || address.getPort() == 0 || !datagrams.isActive()) {
            counters.dropped("no_address");
            return;
        }
        counters.add("messages_out", 1);
        counters.add("bytes_out", message.length);
        if (large || message.length > MOST_DATAGRAM) {
            link(to, address).send(message);
        } else if (!datagrams.isWritable()) {
            counters.dropped("slow_socket");
        } else {
            datagrams.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(message), address)).addListener(done -> {
                if (!done.isSuccess()) {
                    counters.dropped("not_sent");
                }
            });
        }
    }

    private Link link(Address to, InetSocketAddress address) {
        Link link = links.get(to);
        if (link == null) {
            if (links.size() >= MOST_OUTBOUND) {
                Iterator<Link> oldest = links.values().iterator();
                Link given = oldest.next();
                oldest.remove();
                given.close();
            }
            Link made = new Link(loop, socketAddress(bound).getAddress(), address, counters);
            links.put(to, made);
            made.onClose(() -> links.remove(to, made));
            link = made;
        }
        return link;
    }

    private void accepted(Channel child) {
        if (inbound.size() >= MOST_INBOUND) {
            Channel longest = inbound.iterator().next();
            inbound.remove(longest);
            counters.add("connections_crowded_out", 1);
            longest.close();
        }
        inbound.add(child);
        child.closeFuture().addListener(closed -> inbound.remove(child));
        child.pipeline().addLast(new Frames(this::received, counters, frameMemory));
    }

    private boolean received(byte[] message) {
        counters.add("messages_in", 1);
        counters.add("bytes_in", message.length);
        return receiver.test(message);
    }

    /** Gives back every socket, within two seconds; what was not sent by then is not sent. Not to be called on the loop. */
    @Override
    public void close() {
        var closing = new CountDownLatch(1);
        onLoop(() -> {
            links.values().stream().toList().forEach(Link::close);
            inbound.stream().toList().forEach(Channel::close);
            var bound = Stream.of(server, datagrams).filter(Objects::nonNull).toList();
            var left = new AtomicInteger(bound.size());
            bound.forEach(channel -> channel.close().addListener(done -> {
                if (left.decrementAndGet() == 0) {
                    // A socket is the system's again only once its loop has selected anew, which it does before what is scheduled.
                    loop.schedule(closing::countDown, 1, TimeUnit.MILLISECONDS);
                }
            }));
        });
        try {
            if ((server != null || datagrams != null) && !loop.isShutdown()) {
                closing.await(END_S, TimeUnit.SECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private final class Datagrams extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            received(ByteBufUtil.getBytes(packet.content()));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            counters.dropped("broken_datagram");
        }
    }
}

package walkpost.lab.relay;

import io.netty.bootstrap.AbstractBootstrap;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import walkpost.lab.net.PlayClock;
import walkpost.lab.scenario.Streams;

/**
 * Members that reach each other only through the lab. Each has an address of its own, at which it listens and from which it
 * sends, and one at which the others reach it, over TCP and UDP with the same port; they know nothing of the former. Who
 * sends is told by the address it sends from, and seen by whoever receives as the address that it is reached at itself, so
 * that members may tell each other of addresses. All calls are made on the event loop, which owns all of it.
 */
public final class Mesh {
    private static final int MOST_TRIES = 20;

    private final EventLoop loop;
    private final PlayClock clock;
    private final List<InetSocketAddress> members;
    private final Map<InetAddress, Integer> numbers = new HashMap<>();
    private final Way[][] ways;
    private final List<Channel> datagrams = new ArrayList<>();
    private final List<Channel> listeners = new ArrayList<>();
    private final Map<List<Integer>, List<Splice>> splices = new HashMap<>();
    private long unknown;

    /**
     * Creates a mesh that is not open yet.
     *
     * @param streams whence what gets lost, and how late the rest is, is drawn: a stream for each way
     * @param members their own addresses, no two on the same host
     */
    public Mesh(EventLoop loop, PlayClock clock, Streams streams, Conditions conditions, List<InetSocketAddress> members) {
        this.loop = loop;
        this.clock = clock;
        this.members = List.copyOf(members);
        ways = new Way[members.size()][members.size()];
        for (int from = 0; from < members.size(); from++) {
            if (numbers.put(members.get(from).getAddress(), from) != null) {
                throw new IllegalArgumentException("two members on " + members.get(from).getAddress());
            }
            for (int to = 0; to < members.size(); to++) {
                ways[from][to] = new Way(conditions, streams.of("way from " + from + " to " + to));
            }
        }
    }

    /**
     * Opens it.
     *
     * @param hosts a loopback host for each member, none of them a member's own
     * @throws IOException if an address can't be had
     */
    public void open(List<String> hosts) throws IOException {
        for (int member = 0; member < members.size(); member++) {
            open(member, InetAddress.getByName(hosts.get(member)));
        }
    }

    private void open(int member, InetAddress host) throws IOException {
        IOException last = null;
        for (int tries = 0; tries < MOST_TRIES; tries++) {
            Channel datagram = bound(new Bootstrap().group(loop).channel(NioDatagramChannel.class).handler(new Datagrams(member)),
                    new InetSocketAddress(host, 0));
            try {
                int port = ((InetSocketAddress) datagram.localAddress()).getPort();
                listeners.add(bound(new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class)
                        .childHandler(new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                accepted(channel, member);
                            }
                        }), new InetSocketAddress(host, port)));
                datagrams.add(datagram);
                return;
            } catch (IOException e) {
                // The port is somebody's over TCP.
                datagram.close();
                last = e;
            }
        }
        throw last;
    }

    /** On its own loop a channel is registered and bound before these calls return. */
    private static Channel bound(AbstractBootstrap<?, ?> bootstrap, InetSocketAddress address) throws IOException {
        Channel channel = bootstrap.register().channel();
        ChannelFuture bound = channel.bind(address);
        if (!bound.isSuccess()) {
            channel.close();
            throw new IOException(address + " can't be had", bound.cause());
        }
        return channel;
    }

    /** Returns where the others reach a member. */
    public InetSocketAddress address(int member) {
        return (InetSocketAddress) datagrams.get(member).localAddress();
    }

    /** Lets nothing pass on one way any more, or all again: what streams had under way follows then, datagrams are lost. */
    public void silence(int from, int to, boolean silent) {
        ways[from][to].silence(silent);
        changed(from, to);
    }

    /** What passes on one way from now on passes under these conditions. */
    public void become(int from, int to, Conditions conditions) {
        ways[from][to].become(conditions);
    }

    /** Returns whether nothing passes on one way. */
    public boolean silent(int from, int to) {
        return ways[from][to].silent();
    }

    /** Lets nothing pass between any of some and any of others, either way. */
    public void part(Set<Integer> some, Set<Integer> others) {
        for (int one : some) {
            for (int other : others) {
                silence(one, other, true);
                silence(other, one, true);
            }
        }
    }

    /** Lets all pass again. */
    public void heal() {
        for (int from = 0; from < ways.length; from++) {
            for (int to = 0; to < ways.length; to++) {
                if (ways[from][to].silent()) {
                    silence(from, to, false);
                }
            }
        }
    }

    /** Resets all connections between two members, whoever opened them. */
    public void reset(int one, int other) {
        between(one, other).forEach(Splice::reset);
        between(other, one).forEach(Splice::reset);
    }

    /** Returns how many bytes of the connections that one has opened to another are under way there. */
    public int underWay(int from, int to) {
        return between(from, to).stream().mapToInt(Splice::heldThere).sum();
    }

    /** Returns how many datagrams and connections came from addresses that are no member's. */
    public long unknown() {
        return unknown;
    }

    /** Ends it, with all connections. */
    public void close() {
        listeners.forEach(Channel::close);
        datagrams.forEach(Channel::close);
        splices.values().forEach(all -> List.copyOf(all).forEach(Splice::reset));
    }

    private void changed(int from, int to) {
        between(from, to).forEach(Splice::changed);
        between(to, from).forEach(Splice::changed);
    }

    private List<Splice> between(int from, int to) {
        return List.copyOf(splices.getOrDefault(List.of(from, to), List.of()));
    }

    private int sender(InetSocketAddress address) {
        Integer number = numbers.get(address.getAddress());
        if (number == null) {
            unknown++;
            return -1;
        }
        return number;
    }

    private void accepted(SocketChannel channel, int to) {
        int from = sender(channel.remoteAddress());
        if (from < 0) {
            channel.close();
            return;
        }
        var seemsFrom = new InetSocketAddress(address(from).getAddress(), 0);
        List<Splice> all = splices.computeIfAbsent(List.of(from, to), k -> new ArrayList<>());
        all.removeIf(Splice::over);
        all.add(Splice.join(channel, clock, ways[from][to], ways[to][from], seemsFrom, members.get(to)));
    }

    /** What is sent to the address that a member is reached at. */
    private final class Datagrams extends SimpleChannelInboundHandler<DatagramPacket> {
        private final int to;

        private Datagrams(int to) {
            this.to = to;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            int from = sender(packet.sender());
            if (from < 0) {
                return;
            }
            for (long at : ways[from][to].datagram(clock.now(), packet.content().readableBytes())) {
                ByteBuf copy = packet.content().retainedDuplicate();
                long left = at - clock.now();
                if (left <= 0) {
                    pass(from, copy);
                } else {
                    loop.schedule(() -> pass(from, copy), left, TimeUnit.MICROSECONDS);
                }
            }
        }

        private void pass(int from, ByteBuf bytes) {
            datagrams.get(from).writeAndFlush(new DatagramPacket(bytes, members.get(to)));
        }
    }
}

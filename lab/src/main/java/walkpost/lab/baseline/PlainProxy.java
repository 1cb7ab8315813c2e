package walkpost.lab.baseline;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.Closeable;
import java.io.IOException;
import java.net.UnknownHostException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import walkpost.lab.net.Board;

/**
 * A plain proxy: it sends each request to the server that its choice picks and tries another one after a failure, as far as the
 * request's class allows. It keeps the rules, unless it was asked to be wrong. One event loop owns all of it.
 */
public final class PlainProxy implements Closeable {
    private static final int MOST_BODY = 1 << 20;

    private final EventLoop loop;
    private final Terms terms;
    private final Wrong wrong;
    private final SplittableRandom random;
    private final Choice choice;
    private final Map<String, Known> servers = new LinkedHashMap<>();
    private final Channel listener;
    private ByteBuf kept;

    private PlainProxy(Terms terms, Choice.Kind kind, Wrong wrong, Board board) throws IOException {
        this.terms = terms;
        this.wrong = wrong;
        random = new SplittableRandom(terms.seed());
        choice = Choice.of(kind, random, board);
        loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        loop.submit(() -> told(terms.known())).syncUninterruptibly();
        loop.execute(new ListClient(loop, terms.discovery(), this::told, terms.askUs(), is(Wrong.TRUSTS_SILENCE))::ask);
        var bound = new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_BODY),
                                new PlainClient(PlainProxy.this));
                    }
                }).bind(terms.listen()).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            close();
            throw new IOException(terms.listen() + ": can't be listened at", bound.cause());
        }
        listener = bound.channel();
    }

    /**
     * Starts one.
     *
     * @param config the file that the platform names
     * @param choice a name as {@link Choice.Kind} has them, with hyphens
     * @param wrong what it does wrong; null for nothing
     * @param board where the oracle sees the truth; null for the others
     * @throws IOException if the file can't be read or the address not be had
     */
    public static PlainProxy start(Path config, String choice, Wrong wrong, Path board) throws IOException {
        return new PlainProxy(Terms.read(config), Choice.kind(choice), wrong, board == null ? null : Board.open(board));
    }

    EventLoop loop() {
        return loop;
    }

    Terms terms() {
        return terms;
    }

    SplittableRandom random() {
        return random;
    }

    boolean is(Wrong what) {
        return wrong == what;
    }

    /** Returns whether it is to be wrong in such a way now: once in a while is enough. */
    boolean now(Wrong what) {
        return wrong == what && random.nextInt(20) == 0;
    }

    /** Keeps a body and returns the one kept before; now and then, else the same. */
    ByteBuf swapped(ByteBuf body) {
        ByteBuf before = kept;
        kept = Unpooled.copiedBuffer(body);
        return before != null && now(Wrong.SWAPS) ? before : body;
    }

    private void told(JsonNode list) {
        Set<String> named = new HashSet<>();
        for (JsonNode line : list.path("servers")) {
            String id = line.path("id").asText();
            named.add(id);
            Known server = servers.computeIfAbsent(id, Known::new);
            try {
                server.address = Terms.address(line.path("addr").asText());
            } catch (UnknownHostException e) {
                continue;
            }
            server.startedMs = line.path("started_ms").asLong();
            server.ready = line.path("state").asText().equals("ready");
        }
        if (list.path("full").asBoolean()) {
            servers.values().stream().filter(s -> !named.contains(s.id)).forEach(s -> s.ready = false);
        }
    }

    /** Returns whether there is anybody to send to. */
    boolean ready() {
        return servers.values().stream().anyMatch(s -> s.ready);
    }

    /** Picks a server that was not tried yet, if there is one; null where nobody is left. */
    Known pick(Set<Known> tried, double workUs) {
        List<Known> candidates = new ArrayList<>();
        for (Known server : servers.values()) {
            if ((server.ready || is(Wrong.IGNORES_DRAINS)) && !tried.contains(server) && (is(Wrong.FLOODS_COLD) || warmEnough(server))) {
                candidates.add(server);
            }
        }
        if (is(Wrong.FLOODS_COLD)) {
            List<Known> cold = candidates.stream().filter(s -> s.startedMs > 0).toList();
            candidates = cold.isEmpty() ? candidates : cold;
        }
        return candidates.isEmpty() ? null : choice.pick(candidates, workUs);
    }

    /** Slow start: one that has just started is a candidate as seldom as it is cold. */
    private boolean warmEnough(Known server) {
        if (server.startedMs == 0) {
            return true;
        }
        double age = (System.currentTimeMillis() - server.startedMs) * 1e3;
        double warmth = Math.min(1, terms.coldFrom() + (1 - terms.coldFrom()) * Math.max(0, age) / terms.coldUs());
        return random.nextDouble() < warmth;
    }

    /** Returns whatever it runs until. */
    public Channel listener() {
        return listener;
    }

    @Override
    public void close() {
        loop.parent().shutdownGracefully(0, 100, java.util.concurrent.TimeUnit.MILLISECONDS);
    }
}

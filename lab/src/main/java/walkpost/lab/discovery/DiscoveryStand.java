package walkpost.lab.discovery;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import walkpost.lab.ledger.Seen;
import walkpost.lab.net.Door;
import walkpost.lab.net.Link;
import walkpost.lab.net.LinkHandler;
import walkpost.lab.net.Stage;
import walkpost.lab.scenario.Scenario;

/** Discovery, at an address for each proxy. All calls are made on its event loop, which owns all of it. */
public final class DiscoveryStand {
    private static final String PATH = "/v1/endpoints";
    /** A watch goes on as long as the next call comes so soon after an answer. */
    private static final long GOES_ON_US = 200_000;
    private static final long MOST_HOLD_MS = 60_000;

    private final Stage stage;
    private final EventLoop loop;
    private final Registry registry = new Registry();
    private final Listing listing;
    private final CallQueue<Call> queue;
    private final boolean pushed;
    private final List<Door> doors = new ArrayList<>();
    private final List<Link> links = new ArrayList<>();
    private final long[] answeredAt;
    private final Set<Call> watches = new LinkedHashSet<>();
    private final Set<Channel> channels = new LinkedHashSet<>();
    private ScheduledFuture<?> nextTurn;
    private boolean down;
    private boolean silencing;
    private long calls;
    private final Set<Integer> apart = new HashSet<>();

    /** A call that is owed an answer; {@code from} is below 0 for the whole list. It is noted when it begins and when it is over. */
    private final class Call {
        private final long number = ++calls;
        private final int proxy;
        private final Channel channel;
        private final int from;
        private final long holdUs;
        /** By {@link System#nanoTime}: the play's zero is set while calls wait already. */
        private long waitEndsNs;
        private ScheduledFuture<?> end;
        private boolean over;

        private Call(int proxy, Channel channel, int from, long holdUs) {
            this.proxy = proxy;
            this.channel = channel;
            this.from = from;
            this.holdUs = holdUs;
            stage.ledger().note(new Seen.Called(now(), proxy, number, false, false));
        }

        private void over(boolean failed) {
            if (!over) {
                over = true;
                stage.ledger().note(new Seen.Called(now(), proxy, number, true, failed));
            }
        }

        /** Nothing is written to it any more, and it stays open. */
        private void fallSilent() {
            end.cancel(false);
            long leftUs = TimeUnit.NANOSECONDS.toMicros(waitEndsNs - System.nanoTime());
            stage.ledger().note(new Seen.Silent(now(), proxy, number, now() + leftUs));
        }

        private Registry.News news() {
            return from < 0 ? registry.all() : registry.since(from);
        }
    }

    /** Creates discovery for so many proxies; {@code addresses} tells where a proxy reaches a place. */
    public DiscoveryStand(Stage stage, EventLoop loop, int proxies, BiFunction<Integer, Integer, InetSocketAddress> addresses) {
        this.stage = stage;
        this.loop = loop;
        Scenario.Discovery terms = stage.scenario().discovery();
        listing = new Listing(addresses::apply, terms.odd() ? stage.streams().of("odd lists") : null);
        pushed = terms.pushed();
        queue = new CallQueue<>(terms.callUs(), terms.entryUs(), terms.timeoutUs());
        answeredAt = new long[proxies];
        java.util.Arrays.fill(answeredAt, Long.MIN_VALUE / 2);
        for (int proxy = 0; proxy < proxies; proxy++) {
            Link link = stage.link();
            int of = proxy;
            links.add(link);
            doors.add(new Door(loop, "127." + (1 + proxy) + ".250.1", channel -> admit(channel, of, link)));
        }
    }

    /** Begins with a list that everybody knows. */
    public void begin(List<Entry> known) {
        registry.begin(known);
        known.forEach(e -> stage.ledger().note(new Seen.Listed(now(), registry.version(), e.id(), spelt(e))));
        doors.forEach(Door::open);
    }

    public EventLoop loop() {
        return loop;
    }

    /** Returns where a proxy reaches discovery. */
    public InetSocketAddress address(int proxy) {
        return doors.get(proxy).address();
    }

    /** Returns the list as a proxy knows it before it has asked. */
    public ObjectNode known(int proxy) {
        return listing.json(registry.all(), proxy);
    }

    /** Takes in a change, so late as discovery notices it. */
    public void change(Entry entry, long lateUs) {
        loop.schedule(() -> {
            registry.change(entry);
            stage.ledger().note(new Seen.Listed(now(), registry.version(), entry.id(), spelt(entry)));
            for (Call watch : List.copyOf(watches)) {
                watches.remove(watch);
                answerIn(watch, 1);
            }
        }, lateUs, TimeUnit.MICROSECONDS);
    }

    /** Returns the line of a server as it stands now, or null. */
    public Entry entry(String id) {
        return registry.entry(id);
    }

    private static String spelt(Entry entry) {
        return entry.state().name().toLowerCase(java.util.Locale.ROOT);
    }

    /** Answers nobody from now on, and ends all watches; or answers again. */
    public void down(boolean now) {
        down = now;
        for (int proxy = 0; proxy < doors.size(); proxy++) {
            settleDoor(proxy);
        }
        if (now) {
            List.copyOf(channels).forEach(channel -> {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.close();
            });
        }
    }

    /**
     * The calls that wait fall silent, and so do those that come to wait from now on, until it is called with false: whoever
     * fell silent stays so. A call that is told something at once is answered as ever.
     */
    public void fallSilent(boolean now) {
        silencing = now;
        if (now) {
            watches.forEach(Call::fallSilent);
            watches.clear();
        }
    }

    /** Nothing passes between discovery and a proxy from now on, or all again. */
    public void silence(int proxy, boolean silent) {
        if (silent) {
            apart.add(proxy);
        } else {
            apart.remove(proxy);
        }
        links.get(proxy).silence(silent, silent);
        settleDoor(proxy);
    }

    private void settleDoor(int proxy) {
        if (apart.contains(proxy)) {
            doors.get(proxy).deafen();
        } else if (down) {
            doors.get(proxy).close();
        } else {
            doors.get(proxy).open();
        }
    }

    private void admit(SocketChannel channel, int proxy, Link link) {
        channels.add(channel);
        channel.closeFuture().addListener(f -> channels.remove(channel));
        channel.pipeline().addLast(new LinkHandler(link, stage.clock()), new HttpServerCodec(), new HttpObjectAggregator(8_192),
                new Calls(proxy));
    }

    /** One connection of a proxy. */
    private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final int proxy;
        private Call open;

        private Calls(int proxy) {
            this.proxy = proxy;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            var uri = new QueryStringDecoder(request.uri());
            if (down || request.decoderResult().isFailure() || !uri.path().equals(PATH)) {
                fail(ctx.channel(), down ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.NOT_FOUND);
                return;
            }
            int from = (int) figure(uri, "from", -1);
            open = new Call(proxy, ctx.channel(), from, TimeUnit.MILLISECONDS.toMicros(Math.min(MOST_HOLD_MS, figure(uri, "hold_ms", 0))));
            if (pushed || from >= 0 && now() - answeredAt[proxy] <= GOES_ON_US) {
                taken(open);
            } else {
                queue.add(now(), open);
                turn();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (open != null) {
                forget(open);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private static long figure(QueryStringDecoder uri, String name, long otherwise) {
        try {
            return Long.parseLong(uri.parameters().getOrDefault(name, List.of("")).get(0));
        } catch (NumberFormatException e) {
            return otherwise;
        }
    }

    private void forget(Call call) {
        queue.remove(call);
        watches.remove(call);
        call.over(true);
        if (call.end != null) {
            call.end.cancel(false);
        }
    }

    /** Looks after those in turn. */
    private void turn() {
        for (Call late = queue.expired(now()); late != null; late = queue.expired(now())) {
            late.over(true);
            fail(late.channel, HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
        Call next = queue.next(now());
        if (next != null) {
            taken(next);
        }
        if (nextTurn != null) {
            nextTurn.cancel(false);
        }
        long at = queue.nextUs();
        if (at < Long.MAX_VALUE) {
            nextTurn = loop.schedule(this::turn, Math.max(1, at - now()), TimeUnit.MICROSECONDS);
        }
    }

    /** A call is being served: it is answered, or waits for news. */
    private void taken(Call call) {
        if (call.from >= 0 && call.holdUs > 0 && call.news().entries().isEmpty() && !call.news().full()) {
            call.waitEndsNs = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(call.holdUs);
            call.end = loop.schedule(() -> {
                if (watches.remove(call)) {
                    answer(call);
                }
            }, call.holdUs, TimeUnit.MICROSECONDS);
            if (silencing) {
                call.fallSilent();
            } else {
                watches.add(call);
            }
        } else {
            answerIn(call, call.news().entries().size());
        }
    }

    private void answerIn(Call call, int entries) {
        if (pushed) {
            answer(call);
            return;
        }
        long at = queue.serve(now(), entries);
        loop.schedule(() -> answer(call), Math.max(0, at - now()), TimeUnit.MICROSECONDS);
    }

    private void answer(Call call) {
        if (call.end != null) {
            call.end.cancel(false);
        }
        if (!call.channel.isActive() || down) {
            return;
        }
        Registry.News news = call.news();
        byte[] body = listing.json(news, call.proxy).toString().getBytes(StandardCharsets.UTF_8);
        var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
        HttpUtil.setContentLength(response, body.length);
        answeredAt[call.proxy] = now();
        call.channel.writeAndFlush(response).addListener(written -> {
            if (written.isSuccess()) {
                stage.ledger().note(new Seen.Told(now(), call.proxy, news.version(), news.full(), news.entries().stream()
                        .map(e -> new Seen.Line(e.id(), spelt(e), e.startedMs())).toList()));
            }
            call.over(!written.isSuccess());
        });
    }

    private static void fail(Channel channel, HttpResponseStatus status) {
        var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        HttpUtil.setContentLength(response, 0);
        channel.writeAndFlush(response);
    }

    private long now() {
        return stage.clock().now();
    }
}

package walkpost.lab.baseline;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** One request in a plain proxy, from its arrival to its answer. Owned by the proxy's event loop. */
final class PlainExchange {
    /** The answer is written so long before the client's time is up. */
    private static final long MARGIN_US = 40_000;
    private static final int CONNECT_MS = 200;
    /** Half of a window, in nanoseconds for its microseconds: the rest is for what lies between deciding and arriving. */
    private static final long WINDOW_PART_NS = 500;

    private final PlainProxy proxy;
    private final PlainClient client;
    private final String id;
    private final Terms.RequestClass requestClass;
    private final HttpMethod method;
    private final String uri;
    private final String key;
    private final byte[] body;
    private final double workUs;
    private final long deadlineNs;
    private final Set<Known> tried = new HashSet<>();
    private final List<Attempt> out = new ArrayList<>();
    private ScheduledFuture<?> deadline;
    private int attempts;
    private long firstNs;
    private boolean done;
    private boolean mayHaveRun;

    PlainExchange(PlainProxy proxy, PlainClient client, FullHttpRequest request, String id, Terms.RequestClass requestClass) {
        this.proxy = proxy;
        this.client = client;
        this.id = id;
        this.requestClass = requestClass;
        method = request.method();
        uri = request.uri();
        key = request.headers().get("Idempotency-Key");
        body = new byte[request.content().readableBytes()];
        request.content().getBytes(request.content().readerIndex(), body);
        workUs = figure(request.headers().get("X-Cost"), 20_000);
        deadlineNs = System.nanoTime() + Math.round((figure(request.headers().get("X-Timeout"), 800_000) - MARGIN_US) * 1e3);
    }

    /** Reads microseconds, with a unit or without. */
    private static double figure(String text, double otherwise) {
        if (text == null || text.isEmpty()) {
            return otherwise;
        }
        char unit = text.charAt(text.length() - 1);
        String digits = Character.isDigit(unit) ? text : text.substring(0, text.length() - 1);
        try {
            return Double.parseDouble(digits) * (unit == 'm' ? 1_000 : 1);
        } catch (NumberFormatException e) {
            return otherwise;
        }
    }

    void begin() {
        deadline = proxy.loop().schedule(() -> fail(HttpResponseStatus.GATEWAY_TIMEOUT), deadlineNs - System.nanoTime(), TimeUnit.NANOSECONDS);
        if (proxy.now(Wrong.CRASHES)) {
            Runtime.getRuntime().halt(3);
        }
        if (proxy.now(Wrong.MAKES_REQUESTS)) {
            send("0123456789abcdef");
        }
        next();
        if (proxy.is(Wrong.COPIES)) {
            next();
        } else if (proxy.is(Wrong.REPEATS_LATE) && requestClass.effect().equals("deduplicated")) {
            long window = requestClass.windowUs() + 200_000;
            proxy.loop().schedule(() -> send(id), window, TimeUnit.MICROSECONDS);
        } else if (proxy.now(Wrong.TRIES_TOO_OFTEN)) {
            for (int i = 0; i <= proxy.terms().tries(); i++) {
                send(id);
            }
        }
    }

    private void next() {
        if (attempts >= proxy.terms().tries() || !send(id)) {
            fail(mayHaveRun ? HttpResponseStatus.BAD_GATEWAY : HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
    }

    private boolean send(String under) {
        Known server = proxy.pick(tried, workUs);
        if (server == null) {
            return false;
        }
        tried.add(server);
        attempts++;
        firstNs = firstNs == 0 ? System.nanoTime() : firstNs;
        var attempt = new Attempt(server, under);
        out.add(attempt);
        attempt.begin();
        return true;
    }

    private void fail(HttpResponseStatus status) {
        if (!done) {
            over();
            client.answer(status, status.reasonPhrase() + "\n", false);
        }
    }

    /** The client has gone. */
    void left() {
        over();
    }

    private void over() {
        done = true;
        deadline.cancel(false);
        if (!proxy.is(Wrong.REPEATS_LATE)) {
            List.copyOf(out).forEach(Attempt::giveUp);
        }
    }

    private void served(FullHttpResponse response) {
        ByteBuf made = Unpooled.copiedBuffer(response.content());
        over();
        if (proxy.now(Wrong.DROPS)) {
            return;
        } else if (proxy.now(Wrong.HANGS_UP)) {
            client.hangUp();
        } else if (proxy.now(Wrong.BREAKS_OFF)) {
            client.breakOff();
        } else if (proxy.now(Wrong.INVENTS)) {
            client.answer(HttpResponseStatus.OK, "a tile that nobody made\n", false);
        } else if (proxy.is(Wrong.SWAPS)) {
            client.answer(HttpResponseStatus.OK, proxy.swapped(made), false);
        } else {
            ByteBuf again = proxy.now(Wrong.ANSWERS_TWICE) ? Unpooled.copiedBuffer(made) : null;
            client.answer(HttpResponseStatus.OK, made, false);
            if (again != null) {
                client.answer(HttpResponseStatus.OK, again, false);
            }
        }
    }

    private void failed(boolean ran) {
        if (done) {
            return;
        }
        mayHaveRun |= ran;
        boolean may = switch (requestClass.effect()) {
            case "at_most_once" -> !mayHaveRun || proxy.is(Wrong.REPEATS_UNSAFE);
            case "deduplicated" -> !mayHaveRun || System.nanoTime() - firstNs < requestClass.windowUs() * WINDOW_PART_NS;
            default -> true;
        };
        if (may && out.isEmpty()) {
            next();
        } else if (out.isEmpty()) {
            fail(HttpResponseStatus.BAD_GATEWAY);
        }
    }

    /** One attempt at one server. */
    private final class Attempt extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Known server;
        private final String under;
        private Channel channel;
        private long sentNs;
        private boolean ended;

        private Attempt(Known server, String under) {
            this.server = server;
            this.under = under;
        }

        private void begin() {
            server.outstanding++;
            server.onItsWayUs += workUs;
            Channel free = server.idle.pollLast();
            while (free != null && !free.isActive()) {
                free = server.idle.pollLast();
            }
            if (free != null) {
                free.pipeline().addLast(this);
                channel = free;
                write();
                return;
            }
            new Bootstrap().group(proxy.loop()).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS).handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel opened) {
                            opened.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(1 << 20), Attempt.this);
                        }
                    }).connect(server.address).addListener((io.netty.channel.ChannelFuture connected) -> {
                        channel = connected.channel();
                        if (!connected.isSuccess()) {
                            end();
                            failed(false);
                        } else if (done && under.equals(id) && !proxy.is(Wrong.REPEATS_LATE)) {
                            channel.close();
                            end();
                        } else {
                            write();
                        }
                    });
        }

        private void write() {
            sentNs = System.nanoTime();
            var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri, Unpooled.wrappedBuffer(body));
            request.headers().set("Host", "tiles").set("X-Request-ID", under);
            if (key != null) {
                request.headers().set("Idempotency-Key", proxy.now(Wrong.CHANGES_KEYS) ? "another" : key);
            }
            if (body.length > 0) {
                HttpUtil.setContentLength(request, body.length);
            }
            channel.writeAndFlush(request);
        }

        private void end() {
            if (!ended) {
                ended = true;
                server.outstanding--;
                server.onItsWayUs -= workUs;
                out.remove(this);
            }
        }

        private void giveUp() {
            if (channel != null) {
                channel.close();
            }
            end();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            boolean keep = HttpUtil.isKeepAlive(response) && !ended;
            end();
            server.learn((System.nanoTime() - sentNs) / 1e3);
            ctx.pipeline().remove(this);
            if (keep) {
                server.idle.add(ctx.channel());
            } else {
                ctx.close();
            }
            if (done || !under.equals(id)) {
                return;
            }
            if (response.status().code() == 200) {
                served(response);
            } else {
                failed(!response.headers().contains("X-Not-Processed"));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (!ended) {
                end();
                failed(true);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

package walkpost.lab.client;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.zip.CRC32;
import walkpost.lab.ledger.Seen;
import walkpost.lab.net.Book;
import walkpost.lab.net.Heartbeat;
import walkpost.lab.net.Link;
import walkpost.lab.net.LinkHandler;
import walkpost.lab.net.Stage;
import walkpost.lab.scenario.Scenario;

/**
 * The clients of one proxy: their connections, one request at a time on each, and what is open on them. Owned by one event
 * loop. A request that a close has crossed is sent once more on a new connection, as PROTOCOL has it.
 */
final class ClientPool {
    static final String PATH = "/api";
    private static final int CONNECT_MS = 5_000;
    /** What would open a connection and is lost is sent again after so long (RFC 6298, section 2). */
    private static final long AGAIN_MS = 1_000;
    /** An answer this late is still looked for; later it is lost. */
    private static final long LATE_US = 500_000;

    private final Stage stage;
    private final EventLoop loop;
    private final int proxy;
    private final InetSocketAddress address;
    private final Link link;
    private final Heartbeat heart;
    private final int mostConnections;
    private final Ends ends;
    private final ArrayDeque<Connection> idle = new ArrayDeque<>();
    private int open;
    private long connections;

    /** What a client does once a try has ended. */
    interface Ends {
        /**
         * A try has ended.
         *
         * @param status of the answer; 0 where there was none
         * @param retryAfterUs below 0 where nothing was said
         * @param reached whether the proxy may have taken it
         */
        void ended(Exchange exchange, int status, long retryAfterUs, boolean reached);
    }

    ClientPool(Stage stage, EventLoop loop, int proxy, InetSocketAddress address, Ends ends) {
        this.stage = stage;
        this.loop = loop;
        this.proxy = proxy;
        this.address = address;
        this.ends = ends;
        link = stage.clientLink();
        heart = stage.clientLoops().heart(proxy);
        // Clients use no more than a third of a proxy's descriptors (TERMS).
        mostConnections = stage.scenario().fleet().sockets() / 3;
    }

    EventLoop loop() {
        return loop;
    }

    /** Lets nothing pass to or from the proxy, or all again; called by anyone. */
    void silence(boolean silent) {
        link.silence(silent, silent);
    }

    /** Sends a request that is due now. */
    void send(Exchange exchange) {
        stage.book().add(new Book.Sent(exchange.id(), exchange.workUs, exchange.arrival.waitUs(),
                stage.scenario().classes().get(exchange.arrival.requestClass()).body()));
        exchange.timer = loop.schedule(() -> leave(exchange), Math.max(0, exchange.dueUs + exchange.patienceUs - now()),
                TimeUnit.MICROSECONDS);
        Connection connection = idle.pollLast();
        if (connection != null) {
            connection.write(exchange);
        } else {
            connect(exchange);
        }
    }

    private void connect(Exchange exchange) {
        if (link.silent()) {
            loop.schedule(() -> {
                if (!exchange.over && !exchange.left) {
                    connect(exchange);
                }
            }, AGAIN_MS, TimeUnit.MILLISECONDS);
            return;
        }
        if (open >= mostConnections) {
            unsent(exchange, "no descriptor left to clients");
            return;
        }
        open++;
        var connection = new Connection(++connections);
        new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS).handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new LinkHandler(link, stage.clock()),
                                new HttpClientCodec(4_096, 16_384, 16_384, false), connection);
                    }
                }).connect(address).addListener((io.netty.channel.ChannelFuture connected) -> {
                    if (!connected.isSuccess()) {
                        open--;
                        if (!exchange.over && !exchange.left) {
                            unsent(exchange, "no connection");
                        }
                    } else {
                        connected.channel().closeFuture().addListener(closed -> open--);
                        if (exchange.over || exchange.left) {
                            connection.rest();
                        } else {
                            connection.write(exchange);
                        }
                    }
                });
    }

    private void unsent(Exchange exchange, String why) {
        stage.ledger().note(new Seen.Unsent(now(), exchange.number, exchange.attempt, exchange.id(), exchange.dueUs, proxy, why));
        over(exchange, 0, -1, false);
    }

    private void over(Exchange exchange, int status, long retryAfterUs, boolean reached) {
        exchange.over = true;
        exchange.timer.cancel(false);
        if (!exchange.left) {
            ends.ended(exchange, status, retryAfterUs, reached);
        }
    }

    /** The client's time is up: it takes no answer any more, but whether one comes is looked at for a while. */
    private void leave(Exchange exchange) {
        if (exchange.over) {
            return;
        }
        if (!exchange.written) {
            unsent(exchange, "no connection within its time");
            return;
        }
        stage.ledger().note(new Seen.Left(now(), exchange.id(), proxy));
        ends.ended(exchange, 0, -1, true);
        exchange.left = true;
        exchange.timer = loop.schedule(() -> lookOnce(exchange), LATE_US, TimeUnit.MICROSECONDS);
    }

    /** Ends the look for an answer, or goes on with it for as long as this loop was held up meanwhile and may have overlooked it. */
    private void lookOnce(Exchange exchange) {
        if (exchange.over) {
            return;
        }
        long untilUs = exchange.dueUs + exchange.patienceUs + LATE_US + heart.heldUs(exchange.dueUs, now());
        if (now() < untilUs) {
            exchange.timer = loop.schedule(() -> lookOnce(exchange), untilUs - now(), TimeUnit.MICROSECONDS);
            return;
        }
        exchange.over = true;
        stage.ledger().note(new Seen.Missed(now(), exchange.id(), proxy));
        if (exchange.connection != null) {
            exchange.connection.channel.close();
        }
    }

    private long now() {
        return stage.clock().now();
    }

    /** One connection. */
    final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final long number;
        private final CRC32 body = new CRC32();
        private Channel channel;
        private Exchange exchange;
        private boolean fresh = true;
        private boolean firstOne;
        private HttpResponse head;

        private Connection(long number) {
            this.number = number;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        private void write(Exchange next) {
            exchange = next;
            next.connection = this;
            next.written = true;
            firstOne = fresh;
            fresh = false;
            Scenario.RequestClass requestClass = stage.scenario().classes().get(next.arrival.requestClass());
            boolean safe = requestClass.effect() == Scenario.Effect.SAFE;
            String key = requestClass.effect() == Scenario.Effect.KEYED ? next.arrival.key() : null;
            byte[] content = safe ? new byte[0] : ("order " + next.arrival.key() + "\n").getBytes(StandardCharsets.US_ASCII);
            HttpMethod method = safe ? HttpMethod.GET : HttpMethod.POST;
            ByteBuf buffer = Unpooled.wrappedBuffer(content);
            var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, PATH, buffer);
            var headers = request.headers();
            headers.set(HttpHeaderNames.HOST, "service.internal").set("X-Request-ID", next.id())
                    .set("X-Priority-Class", requestClass.name()).set("X-Timeout", Math.max(1, next.dueUs + next.patienceUs - now()) + "u");
            if (next.arrival.tenant() >= 0) {
                headers.set("X-Tenant-Id", stage.scenario().tenants().get(next.arrival.tenant()).name());
            }
            if (next.arrival.hintUs() >= 0) {
                headers.set("X-Cost", Math.max(1, Math.round(next.arrival.hintUs() * ((double) next.workUs / next.arrival.workUs()))));
            }
            if (next.attempt > 0 && stage.scenario().clients().mark()) {
                headers.set("X-Retried", "1");
            }
            if (key != null) {
                headers.set("Idempotency-Key", key);
            }
            if (!safe) {
                HttpUtil.setContentLength(request, content.length);
            }
            stage.ledger().note(new Seen.Asked(now(), next.number, next.attempt, next.id(), next.dueUs, proxy, number, firstOne,
                    next.workUs, next.patienceUs, Book.content(method.name(), PATH, key, content), next.lateUs));
            channel.writeAndFlush(request);
        }

        private void rest() {
            idle.add(this);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message instanceof HttpResponse response && response.status().code() >= 200) {
                if (exchange == null) {
                    stage.ledger().note(new Seen.Extra(now(), proxy, number, response.status().code()));
                    ctx.close();
                    return;
                }
                head = response;
                body.reset();
            }
            if (message.decoderResult().isFailure()) {
                ctx.close();
            } else if (message instanceof HttpContent content && head != null) {
                body.update(content.content().nioBuffer());
                if (message instanceof LastHttpContent) {
                    whole();
                }
            }
        }

        private void whole() {
            HttpResponse response = head;
            Exchange done = exchange;
            head = null;
            exchange = null;
            done.connection = null;
            if (HttpUtil.isKeepAlive(response)) {
                rest();
            } else {
                channel.close();
            }
            if (!done.over) {
                long retryAfter = retryAfterUs(response.headers().get(HttpHeaderNames.RETRY_AFTER));
                stage.ledger().note(new Seen.Answered(now(), done.id(), proxy, response.status().code(), body.getValue(), retryAfter));
                over(done, response.status().code(), retryAfter, true);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.remove(this);
            Exchange lost = exchange;
            exchange = null;
            if (lost == null || lost.over) {
                return;
            }
            lost.connection = null;
            stage.ledger().note(new Seen.Closed(now(), lost.id(), proxy, firstOne, head != null));
            if (!firstOne && head == null && !lost.again && !lost.left) {
                lost.again = true;
                connect(lost);
            } else {
                over(lost, 0, -1, true);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private static long retryAfterUs(String seconds) {
        try {
            return seconds == null ? -1 : Math.round(Double.parseDouble(seconds) * 1e6);
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}

package walkpost.proxy;

import walkpost.Balancer;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A request and its one answer. */
final class Exchange implements Proxy.Reply, BodyRelay.Sink {
    private static final Pattern TIMEOUT = Pattern.compile("(\\d{1,8})([mu])");
    private static final Pattern COST = Pattern.compile("\\d{1,9}");
    /** What a request takes in memory, whatever stands in it. */
    private static final int WEIGHT = 2 * 1024;
    /** An answer is on its way for a moment, and the proxy may be late by a few milliseconds. */
    private static final long ON_ITS_WAY_US = 8_000;

    /** A request that can't be passed on, and the status that says so. */
    private static final class Rejected extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient HttpResponseStatus status;

        Rejected(HttpResponseStatus status, String why) {
            super(why, null, false, false);
            this.status = status;
        }
    }

    private final Frontend front;
    private final ClientConnection connection;
    private final HttpRequest head;
    private final Frontend.Terms came;
    private final ByteBuf body;
    /** The body, where it is too long to be taken in whole; else null. */
    private final BodyRelay relay;
    private boolean whole;
    private long arrivedAt;
    private long patienceUs;
    private String id;
    /** A long answer, from when it begins until it ends, and whether the connection goes on after it. */
    private BodyRelay answer;
    private boolean keepAlive;
    private boolean released;

    Exchange(Frontend front, ClientConnection connection, HttpRequest head, Frontend.Terms came, ByteBuf body, BodyRelay relay) {
        this.front = front;
        this.connection = connection;
        this.head = head;
        this.came = came;
        this.body = body;
        this.relay = relay;
        this.whole = relay == null;
        this.arrivedAt = connection.readAt();
    }

    void begin() {
        Proxy.Incoming incoming;
        try {
            String target = Framing.originForm(head.uri());
            var uri = new QueryStringDecoder(target);
            if (uri.rawPath().equals("/ready")) {
                answer(front.ready() ? Frontend.plain(HttpResponseStatus.OK, "ready")
                        : Frontend.plain(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready"));
                return;
            }
            incoming = incoming(target, uri);
        } catch (Rejected e) {
            answer(Frontend.plain(e.status, e.getMessage()));
            return;
        } catch (IllegalArgumentException e) {
            answer(Frontend.plain(HttpResponseStatus.BAD_REQUEST, "not a path that can be read"));
            return;
        }
        id = incoming.id();
        front.proxy.arrived(incoming, this);
    }

    /** More of a long request has come; the bytes are now the relay's to release. */
    void passOn(ByteBuf bytes) {
        relay.add(bytes);
    }

    /** The rest of a long request has come: its time begins to run. */
    void whole(HttpHeaders trailers) {
        whole = true;
        arrivedAt = connection.readAt();
        relay.end(trailers);
        if (id != null) {
            front.proxy.whole(id, deadline());
        }
    }

    private long deadline() {
        return Math.min(front.latestDeadline(), arrivedAt + patienceUs - Math.min(ON_ITS_WAY_US, patienceUs / 10));
    }

    private Proxy.Incoming incoming(String target, QueryStringDecoder uri) throws Rejected {
        if (!uri.rawPath().equals("/api") && !uri.rawPath().startsWith("/api/")) {
            throw new Rejected(HttpResponseStatus.NOT_FOUND, "no such path");
        }
        HttpHeaders headers = head.headers();
        String requestClass = header(headers, Headers.REQUEST_CLASS);
        // A class that was dropped while its request was on its way is served; one that was changed is as it is now.
        Frontend.Terms in = front.terms().effects().containsKey(requestClass) ? front.terms() : came;
        Balancer.Effect effect = in.effects().get(requestClass);
        if (effect == null) {
            throw new Rejected(HttpResponseStatus.BAD_REQUEST, "unknown " + Headers.REQUEST_CLASS);
        }
        HttpMethod wanted = effect == Balancer.Effect.SAFE ? HttpMethod.GET : HttpMethod.POST;
        if (!head.method().equals(wanted)) {
            throw new Rejected(HttpResponseStatus.METHOD_NOT_ALLOWED, "this class is asked for with " + wanted);
        }
        if (effect == Balancer.Effect.KEYED) {
            header(headers, Headers.IDEMPOTENCY_KEY);
        }
        String tenant = null;
        if (!in.tenants().isEmpty()) {
            tenant = header(headers, Headers.TENANT);
            if (!in.tenants().contains(tenant)) {
                throw new Rejected(HttpResponseStatus.BAD_REQUEST, "unknown " + Headers.TENANT);
            }
        }
        String requestId = header(headers, Headers.REQUEST_ID);
        if (front.proxy.knows(requestId)) {
            throw new Rejected(HttpResponseStatus.CONFLICT, "a request with this id is being served");
        }
        List<String> keys = uri.parameters().get("k");
        patienceUs = patienceUs(header(headers, Headers.TIMEOUT));
        return new Proxy.Incoming(requestId, requestClass, tenant, keys == null ? null : keys.get(0),
                "1".equals(headers.get(Headers.RETRIED)), costUs(headers.get(Headers.COST)), deadline(), whole, in.limits(),
                new Backends.Outgoing(head.method(), target, headers, body, relay));
    }

    private static String header(HttpHeaders headers, String name) throws Rejected {
        String value = headers.get(name);
        if (value == null || value.isEmpty()) {
            throw new Rejected(HttpResponseStatus.BAD_REQUEST, "missing " + name);
        }
        return value;
    }

    /** A guess may be left out, and one that can't be read is as good as none. */
    private static long costUs(String text) {
        return text != null && COST.matcher(text).matches() ? Long.parseLong(text) : 0;
    }

    private static long patienceUs(String text) throws Rejected {
        Matcher m = TIMEOUT.matcher(text);
        if (!m.matches() || Long.parseLong(m.group(1)) == 0) {
            throw new Rejected(HttpResponseStatus.BAD_REQUEST, "bad " + Headers.TIMEOUT);
        }
        return Long.parseLong(m.group(1)) * (m.group(2).equals("m") ? 1_000 : 1);
    }

    @Override
    public void served(Backends.Answer served) {
        var answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, served.body());
        Headers.copyEndToEnd(served.headers(), answer.headers());
        HttpUtil.setContentLength(answer, served.body().readableBytes());
        answer(answer);
    }

    @Override
    public void refused(long retryAfterUs) {
        FullHttpResponse answer = Frontend.plain(HttpResponseStatus.SERVICE_UNAVAILABLE, "not now; trying again is harmless");
        if (retryAfterUs > 0) {
            answer.headers().set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterUs / 1e6));
        }
        answer(answer);
    }

    @Override
    public void failed() {
        answer(Frontend.plain(HttpResponseStatus.BAD_GATEWAY, "failed; it may have taken effect"));
    }

    private void answer(FullHttpResponse answer) {
        if (!connection.answers(this)) {
            answer.release();
            return;
        }
        release();
        if (!whole) {
            connection.partEarly(answer);
            return;
        }
        keepAlive = staysOpen();
        HttpUtil.setKeepAlive(answer, keepAlive);
        if (head.method().equals(HttpMethod.HEAD)) {
            answer.content().clear();
        }
        connection.channel().writeAndFlush(answer);
        connection.answered(keepAlive);
    }

    private boolean staysOpen() {
        return HttpUtil.isKeepAlive(head) && !(front.closing() && connection.last());
    }

    @Override
    public void streams(Backends.Stream stream) {
        if (!connection.answers(this) || !whole) {
            // An answer to a request that has not ended can't be passed on beside it.
            stream.body().cancel();
            failed();
            return;
        }
        release();
        keepAlive = staysOpen();
        var response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        Headers.copyEndToEnd(stream.headers(), response.headers());
        if (stream.length() >= 0) {
            HttpUtil.setContentLength(response, stream.length());
        } else if (head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            keepAlive = false;
        } else {
            HttpUtil.setTransferEncodingChunked(response, true);
        }
        HttpUtil.setKeepAlive(response, keepAlive);
        connection.channel().write(response);
        answer = stream.body();
        answer.to(this);
    }

    /** Returns whether a long answer is on its way. */
    boolean answering() {
        return answer != null;
    }

    void flow() {
        if (answer != null) {
            answer.flow();
        }
    }

    @Override
    public Channel channel() {
        return connection.channel();
    }

    @Override
    public void end(HttpHeaders trailers) {
        answer = null;
        connection.channel().writeAndFlush(Headers.last(trailers));
        connection.answered(keepAlive);
    }

    /** A reset, as an answer of unknown length would look whole to an old client if its connection simply ended. */
    @Override
    public void broken() {
        answer = null;
        try {
            connection.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        } finally {
            connection.channel().close();
        }
    }

    private void release() {
        if (released) {
            return;
        }
        released = true;
        if (relay == null) {
            front.buffers.letGo(body.readableBytes());
            body.release();
        } else {
            relay.breakOff();
        }
    }

    @Override
    public boolean clientThere() {
        return connection.answers(this) && connection.channel().isActive();
    }

    @Override
    public boolean endMayBeUnread() {
        return connection.endMayBeUnread();
    }

    /** There is no time left to wait for its answer: it fails now, unless it has not come whole or is being answered. */
    void answerNow() {
        if (whole && answer == null) {
            failed();
            if (id != null) {
                front.proxy.clientGone(id);
            }
        }
    }

    /** The bytes that it is counted as while it waits for its turn. */
    int weight() {
        int bytes = WEIGHT + head.uri().length() + body.readableBytes();
        for (Map.Entry<String, String> header : head.headers()) {
            bytes += header.getKey().length() + header.getValue().length();
        }
        return bytes;
    }

    void clientGone() {
        if (answer != null) {
            answer.cancel();
        } else if (id != null) {
            front.proxy.clientGone(id);
        }
        release();
    }
}

package walkpost.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/** What RFC 9112 asks of a request's head beyond its syntax: where the request ends and what it is for must be one thing. */
final class Framing {
    private static final String SCHEME = "http://";

    /** A request whose end can't be told, or that asks for what is not to be had: nothing behind it can be read. */
    static final class Unacceptable extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient HttpResponseStatus status;

        Unacceptable(HttpResponseStatus status, String why) {
            super(why, null, false, false);
            this.status = status;
        }

        HttpResponseStatus status() {
            return status;
        }
    }

    private Framing() { }

    static void check(HttpRequest head) throws Unacceptable {
        HttpHeaders headers = head.headers();
        boolean old = head.protocolVersion().equals(HttpVersion.HTTP_1_0);
        if (head.protocolVersion().majorVersion() != 1) {
            throw new Unacceptable(HttpResponseStatus.BAD_REQUEST, "not HTTP/1");
        }
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (!codings.isEmpty() && (old || codings.size() > 1 || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0)))) {
            throw new Unacceptable(HttpResponseStatus.BAD_REQUEST, "a body whose end can't be told");
        }
        if (headers.getAll(HttpHeaderNames.HOST).size() > 1) {
            throw new Unacceptable(HttpResponseStatus.BAD_REQUEST, "more than one host");
        }
        if (!old && headers.contains(HttpHeaderNames.EXPECT) && !HttpUtil.is100ContinueExpected(head)) {
            throw new Unacceptable(HttpResponseStatus.EXPECTATION_FAILED, "no such expectation can be met");
        }
    }

    /** Returns a target as a server is sent it: a proxy may be sent it with scheme and host in front (3.2.2). */
    static String originForm(String target) {
        if (!target.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return target;
        }
        int at = SCHEME.length();
        while (at < target.length() && target.charAt(at) != '/' && target.charAt(at) != '?') {
            at++;
        }
        String path = target.substring(at);
        return path.startsWith("/") ? path : "/" + path;
    }
}

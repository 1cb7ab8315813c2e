package walkpost.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/**
 * Checks a request's head beyond its syntax, as RFC 9112 demands: where the request ends and which host it is for must be unambiguous.
 */
final class RequestHeadValidator {
    private static final String SCHEME = "http://";

    /**
     * Thrown for a request whose end is ambiguous or that demands something unsupported. Nothing behind such a request can be read; the
     * exception carries the status of the response.
     */
    static final class UnacceptableRequestException extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient HttpResponseStatus status;

        UnacceptableRequestException(HttpResponseStatus status, String message) {
            super(message, null, false, false);
            this.status = status;
        }

        HttpResponseStatus status() {
            return status;
        }
    }

    private RequestHeadValidator() { }

    /** Checks a head; the exception says what is wrong with it. */
    static void check(HttpRequest head) throws UnacceptableRequestException {
        HttpHeaders headers = head.headers();
        boolean http10 = head.protocolVersion().equals(HttpVersion.HTTP_1_0);
        if (head.protocolVersion().majorVersion() != 1) {
            throw new UnacceptableRequestException(HttpResponseStatus.BAD_REQUEST, "not HTTP/1");
        }
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (!codings.isEmpty()
                && (http10 || codings.size() > 1 || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0)))) {
            throw new UnacceptableRequestException(HttpResponseStatus.BAD_REQUEST, "a body whose end can't be told");
        }
        if (headers.getAll(HttpHeaderNames.HOST).size() > 1) {
            throw new UnacceptableRequestException(HttpResponseStatus.BAD_REQUEST, "more than one host");
        }
        if (!http10 && headers.contains(HttpHeaderNames.EXPECT) && !HttpUtil.is100ContinueExpected(head)) {
            throw new UnacceptableRequestException(HttpResponseStatus.EXPECTATION_FAILED, "no such expectation can be met");
        }
    }

    /** Returns a request target in origin form, without the scheme and host that a proxy may be sent (RFC 9112, 3.2.2). */
    static String originForm(String target) {
        if (!target.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return target;
        }
        int pathStart = SCHEME.length();
        while (pathStart < target.length() && target.charAt(pathStart) != '/' && target.charAt(pathStart) != '?') {
            pathStart++;
        }
        String path = target.substring(pathStart);
        return path.startsWith("/") ? path : "/" + path;
    }
}

package walkpost.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/** A request that is coming. It is gathered whole, unless it is long: then the exchange begins before it has ended. */
final class Intake implements BodyRelay.Source {
    private final Frontend front;
    private final ClientConnection connection;
    private final HttpRequest head;
    private final Frontend.Terms came;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    /** Whether the client waits to be told to send the body. */
    private boolean announced;
    private Exchange passed;

    Intake(Frontend front, ClientConnection connection, HttpRequest head) {
        this.front = front;
        this.connection = connection;
        this.head = head;
        this.came = front.terms();
        this.announced = HttpUtil.is100ContinueExpected(head);
    }

    /** Not while an earlier request is being answered: the client would take it for a part of that answer. */
    void invite() {
        if (announced) {
            announced = false;
            connection.channel().writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    void add(HttpContent content) {
        ByteBuf bytes = content.content();
        connection.progressed(bytes.readableBytes());
        announced &= !bytes.isReadable();
        if (passed == null && bytes.isReadable()
                && (body.readableBytes() + bytes.readableBytes() > Backends.MAX_BODY || front.buffers.full())) {
            var relay = new BodyRelay(body, this, front.buffers);
            body = Unpooled.EMPTY_BUFFER;
            passed = new Exchange(front, connection, head, came, body, relay);
            connection.take(passed);
        }
        if (passed != null) {
            passed.passOn(bytes.retain());
        } else {
            body = Headers.gather(body, bytes, connection.channel().alloc(), front.buffers);
        }
        if (content instanceof LastHttpContent last && connection.takesIn(this)) {
            connection.whole();
            if (passed == null) {
                connection.take(new Exchange(front, connection, head, came, body, null));
            } else {
                passed.whole(last.trailingHeaders());
            }
        }
    }

    boolean announced() {
        return announced;
    }

    /** The exchange that has begun before its request was whole, or null. */
    Exchange passed() {
        return passed;
    }

    void release() {
        front.buffers.letGo(body.readableBytes());
        body.release();
    }

    @Override
    public void reading(boolean on) {
        connection.pauseBody(!on);
    }

    @Override
    public void unwanted() {
        // What still comes is dropped, and the client hears why when the exchange is answered.
    }
}

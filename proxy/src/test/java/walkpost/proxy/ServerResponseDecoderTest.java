package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Checks what the decoder accepts as the end of a response. */
class ServerResponseDecoderTest {
    /** Netty closes the connection after a failed write, as this side does itself; neither shows that the response is complete. */
    @Test
    void doesNotEndAResponseAtACloseByThisSide() {
        var channel = new EmbeddedChannel(new ServerResponseDecoder(() -> true));
        channel.writeInbound(Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\n\r\nhalf", StandardCharsets.US_ASCII));
        channel.close();
        for (HttpObject message = channel.readInbound(); message != null; message = channel.readInbound()) {
            assertThat(message).isNotInstanceOf(LastHttpContent.class);
        }
    }
}

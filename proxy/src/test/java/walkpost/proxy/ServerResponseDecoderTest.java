package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** What is taken for the end of an answer. */
class ServerResponseDecoderTest {
    /** A write that fails has Netty close the connection, as does this side: nothing says that the answer is whole. */
    @Test
    void aCloseThatWasNotReadEndsNoAnswer() {
        var channel = new EmbeddedChannel(new ServerResponseDecoder(() -> true));
        channel.writeInbound(Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\n\r\nhalf", StandardCharsets.US_ASCII));
        channel.close();
        for (HttpObject message = channel.readInbound(); message != null; message = channel.readInbound()) {
            assertThat(message).isNotInstanceOf(LastHttpContent.class);
        }
    }
}

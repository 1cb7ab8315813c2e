package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** However slow the one side is, what is held for it stays little, and nothing of it is left behind. */
class BodyRelayTest {
    private static final int PIECE = 10_000;

    private final Buffers buffers = new Buffers(1_000_000);
    private final List<ByteBuf> made = new ArrayList<>();
    private final Source source = new Source();
    private final Sink sink = new Sink();

    private static final class Source implements BodyRelay.Source {
        private boolean reading = true;
        private int unwanted;

        @Override
        public void reading(boolean on) {
            reading = on;
        }

        @Override
        public void unwanted() {
            unwanted++;
        }
    }

    private static final class Sink implements BodyRelay.Sink {
        private int room;
        private int bytes;
        private int ends;
        private int breaks;

        /** There is none: what would be asked of it is answered here. */
        @Override
        public Channel channel() {
            throw new AssertionError("no connection is wanted");
        }

        @Override
        public boolean ready() {
            return room > 0;
        }

        @Override
        public void data(ByteBuf data) {
            room -= data.readableBytes();
            bytes += data.readableBytes();
            data.release();
        }

        @Override
        public void flush() { }

        @Override
        public void end(HttpHeaders trailers) {
            ends++;
        }

        @Override
        public void broken() {
            breaks++;
        }
    }

    private ByteBuf piece() {
        ByteBuf piece = Unpooled.wrappedBuffer(new byte[PIECE]);
        made.add(piece);
        return piece;
    }

    private BodyRelay relay() {
        buffers.hold(PIECE);
        return new BodyRelay(piece(), source, buffers);
    }

    private void nothingIsLeft() {
        assertThat(buffers.held()).isZero();
        assertThat(made).allMatch(piece -> piece.refCnt() == 0);
    }

    @Test
    void hasTheSourceWaitForTheSink() {
        BodyRelay relay = relay();
        relay.to(sink);
        int pieces = 0;
        while (source.reading) {
            relay.add(piece());
            pieces++;
        }
        assertThat(pieces * PIECE).isBetween(32 * 1024, 64 * 1024);
        sink.room = Integer.MAX_VALUE;
        relay.flow();
        assertThat(source.reading).isTrue();
        relay.end(EmptyHttpHeaders.INSTANCE);
        assertThat(sink.bytes).isEqualTo((pieces + 1) * PIECE);
        assertThat(sink.ends).isOne();
        nothingIsLeft();
    }

    /** Where the process holds much already, each holds next to nothing. */
    @Test
    void holdsNothingBeyondWhatAllMayHold() {
        BodyRelay relay = relay();
        relay.to(sink);
        relay.add(piece());
        assertThat(source.reading).isTrue();
        buffers.hold(1_000_000);
        relay.add(piece());
        assertThat(source.reading).isFalse();
        relay.cancel();
        buffers.letGo(1_000_000);
        nothingIsLeft();
    }

    @Test
    void beginsAnewForAnotherSinkAsLongAsNothingIsLost() {
        BodyRelay relay = relay();
        sink.room = 1;
        relay.to(sink);
        relay.add(piece());
        relay.detach();
        assertThat(relay.fresh()).isTrue();
        var other = new Sink();
        other.room = Integer.MAX_VALUE;
        relay.to(other);
        relay.end(EmptyHttpHeaders.INSTANCE);
        assertThat(other.bytes).isEqualTo(2 * PIECE);
        assertThat(other.ends).isOne();
        assertThat(sink.ends + sink.breaks).isZero();
        nothingIsLeft();
    }

    @Test
    void isUnwantedOnceTheSinkGoesWithAPartOfIt() {
        BodyRelay relay = relay();
        sink.room = Integer.MAX_VALUE;
        relay.to(sink);
        relay.add(piece());
        relay.detach();
        assertThat(relay.fresh()).isFalse();
        assertThat(source.unwanted).isOne();
        relay.add(piece());
        nothingIsLeft();
    }

    @Test
    void tellsTheSinkOnceThatTheRestWillNotCome() {
        BodyRelay relay = relay();
        relay.to(sink);
        relay.add(piece());
        relay.breakOff();
        relay.breakOff();
        relay.cancel();
        assertThat(sink.breaks).isOne();
        assertThat(source.unwanted).isZero();
        nothingIsLeft();
    }
}

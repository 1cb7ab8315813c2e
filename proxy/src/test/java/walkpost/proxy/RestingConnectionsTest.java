package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

/** Which connections an attempt is given. */
class RestingConnectionsTest {
    private long now;
    private final RestingConnections resting = new RestingConnections(() -> now, new Sockets(1_024));

    private Channel rests() {
        var channel = new EmbeddedChannel();
        resting.add(channel);
        return channel;
    }

    @Test
    void givesTheOneUsedLast() {
        Channel first = rests();
        Channel last = rests();
        assertThat(resting.take(10)).isSameAs(last);
        assertThat(resting.take(10)).isSameAs(first);
        assertThat(resting.take(10)).isNull();
    }

    /** A second answer may come late: rather not to the next attempt. */
    @Test
    void ratherGivesOneThatHasRestedALittle() {
        Channel settled = rests();
        now += 19_000;
        Channel fresh = rests();
        now += 1_000;
        assertThat(resting.take(100_000)).isSameAs(settled);
        assertThat(resting.take(100_000)).isSameAs(fresh);
    }

    /** The loop was held up: its idle timer is late, the clock is not. */
    @Test
    void givesNoneThatHasRestedForTooLong() {
        Channel channel = rests();
        now += 11;
        assertThat(resting.take(10)).isNull();
        assertThat(channel.isOpen()).isFalse();
    }

    @Test
    void givesNoneThatIsClosed() {
        Channel open = rests();
        rests().close();
        assertThat(resting.take(10)).isSameAs(open);
    }
}

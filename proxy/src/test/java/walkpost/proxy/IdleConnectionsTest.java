package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

/** Tests which idle connection an attempt gets. */
class IdleConnectionsTest {
    private long nowUs;
    private final IdleConnections idleConnections = new IdleConnections(() -> nowUs, new ConnectionBudget(1_024));

    private Channel addIdle() {
        var channel = new EmbeddedChannel();
        idleConnections.add(channel);
        return channel;
    }

    @Test
    void takesTheConnectionUsedLast() {
        Channel first = addIdle();
        Channel last = addIdle();
        assertThat(idleConnections.take(10)).isSameAs(last);
        assertThat(idleConnections.take(10)).isSameAs(first);
        assertThat(idleConnections.take(10)).isNull();
    }

    /** A late second response may still arrive on a connection that has just become idle; the next attempt would take it for its own. */
    @Test
    void prefersAConnectionOnWhichNoLateResponseIsExpected() {
        Channel settled = addIdle();
        nowUs += 19_000;
        Channel fresh = addIdle();
        nowUs += 1_000;
        assertThat(idleConnections.take(100_000)).isSameAs(settled);
        assertThat(idleConnections.take(100_000)).isSameAs(fresh);
    }

    /** The idle timers of a lagging event loop are late, but the clock is not. */
    @Test
    void closesAConnectionThatWasIdleForTooLong() {
        Channel channel = addIdle();
        nowUs += 11;
        assertThat(idleConnections.take(10)).isNull();
        assertThat(channel.isOpen()).isFalse();
    }

    @Test
    void doesNotTakeAClosedConnection() {
        Channel open = addIdle();
        addIdle().close();
        assertThat(idleConnections.take(10)).isSameAs(open);
    }
}

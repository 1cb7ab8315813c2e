package walkpost.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.pool.AbstractChannelPoolHandler;
import io.netty.channel.pool.SimpleChannelPool;
import io.netty.util.concurrent.Promise;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Pools the open connections to one server. It is Netty's pool, with the idle connections kept in {@link IdleConnections}. Used on
 * the event loop only.
 */
final class ConnectionPool extends SimpleChannelPool {
    private final IdleConnections idleConnections;
    private final LongSupplier maxIdleUs;
    private ChannelFuture connecting;

    /**
     * Creates a pool.
     *
     * @param onConnectionCreated is given each new connection, to set up its pipeline
     * @param maxIdleUs returns how long a connection may have been idle when it is taken, in microseconds
     */
    ConnectionPool(Bootstrap bootstrap, Consumer<Channel> onConnectionCreated, IdleConnections idleConnections, LongSupplier maxIdleUs) {
        super(bootstrap, new AbstractChannelPoolHandler() {
            @Override
            public void channelCreated(Channel channel) {
                onConnectionCreated.accept(channel);
            }
        });
        this.idleConnections = idleConnections;
        this.maxIdleUs = maxIdleUs;
    }

    void setConnectTimeoutMs(int timeoutMs) {
        bootstrap().option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs);
    }

    boolean hasIdle() {
        return !idleConnections.isEmpty();
    }

    @Override
    protected ChannelFuture connectChannel(Bootstrap to) {
        connecting = super.connectChannel(to);
        return connecting;
    }

    /** Takes an idle connection or opens one; returns the future of the connection being opened, or null if an idle one was taken. */
    ChannelFuture acquireOrConnect(Promise<Channel> promise) {
        connecting = null;
        acquire(promise);
        return connecting;
    }

    @Override
    protected Channel pollChannel() {
        return idleConnections.take(maxIdleUs.getAsLong());
    }

    @Override
    protected boolean offerChannel(Channel channel) {
        idleConnections.add(channel);
        return true;
    }

    void onConnectionClosed(Channel channel) {
        idleConnections.remove(channel);
    }

    void closeIdle() {
        idleConnections.close();
    }
}

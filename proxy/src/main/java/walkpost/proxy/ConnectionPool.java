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

/** The connections to one backend that are open: Netty's pool, with the resting ones kept in a room of their own. */
final class ConnectionPool extends SimpleChannelPool {
    private final RestingConnections resting;
    private final LongSupplier mostUs;
    private ChannelFuture connecting;

    /**
     * Makes one.
     *
     * @param opened is given each new connection, to fit it out
     * @param mostUs says how long a connection may have rested when it is taken, in microseconds
     */
    ConnectionPool(Bootstrap bootstrap, Consumer<Channel> opened, RestingConnections resting, LongSupplier mostUs) {
        super(bootstrap, new AbstractChannelPoolHandler() {
            @Override
            public void channelCreated(Channel channel) {
                opened.accept(channel);
            }
        });
        this.resting = resting;
        this.mostUs = mostUs;
    }

    void connectTimeout(int ms) {
        bootstrap().option(ChannelOption.CONNECT_TIMEOUT_MILLIS, ms);
    }

    boolean hasIdle() {
        return !resting.isEmpty();
    }

    @Override
    protected ChannelFuture connectChannel(Bootstrap to) {
        connecting = super.connectChannel(to);
        return connecting;
    }

    /** Takes a connection; returns the one that is being opened for it, or null. */
    ChannelFuture acquireOrConnect(Promise<Channel> promise) {
        connecting = null;
        acquire(promise);
        return connecting;
    }

    @Override
    protected Channel pollChannel() {
        return resting.take(mostUs.getAsLong());
    }

    @Override
    protected boolean offerChannel(Channel channel) {
        resting.add(channel);
        return true;
    }

    void closed(Channel channel) {
        resting.remove(channel);
    }

    void closeIdle() {
        resting.close();
    }
}

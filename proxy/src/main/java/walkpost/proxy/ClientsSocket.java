package walkpost.proxy;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;

/**
 * The listening socket of one proxy alone. Whoever has connected is the proxy's to answer, also before it is accepted,
 * and the system resets all that wait in a queue that is closed: so the queue is emptied first.
 */
final class ClientsSocket extends NioServerSocketChannel {
    /** So many descriptors may be used beyond the count, which leaves some to spare. */
    private static final int MOST = 48;

    @Override
    protected void doClose() throws Exception {
        if (isActive() && !eventLoop().isShuttingDown()) {
            var waiting = new ArrayList<Object>();
            while (waiting.size() < MOST && doReadMessages(waiting) > 0) {
                // The next, if there is one: accepting does not block.
            }
            waiting.forEach(pipeline()::fireChannelRead);
        }
        super.doClose();
    }
}

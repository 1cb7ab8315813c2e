package walkpost.proxy;

import java.util.ArrayList;

/**
 * The listening socket of one proxy alone. Whoever has connected is the proxy's to answer, also before it is accepted,
 * and the system resets all that wait in a queue that is closed: so the queue is emptied first.
 */
class ClientsSocket extends RetryingServerSocketChannel {
    /** So many descriptors may be used beyond the count, which leaves some to spare. */
    private static final int MOST = 48;
    /** An accept that fails while the queue is emptied is made again at once, as there is no later; so often at most. */
    private static final int MOST_FAILURES = 16;

    ClientsSocket(SystemCallFailures failures) {
        super(failures);
    }

    @Override
    protected void doClose() throws Exception {
        if (isActive() && !eventLoop().isShuttingDown()) {
            var failed = new int[1];
            onAcceptFailure(() -> failed[0]++);
            var waiting = new ArrayList<Object>();
            while (waiting.size() < MOST && acceptsOneMore(waiting, failed)) {
                // The next, if there is one: accepting does not block.
            }
            waiting.forEach(pipeline()::fireChannelRead);
        }
        super.doClose();
    }

    private boolean acceptsOneMore(ArrayList<Object> waiting, int[] failed) {
        int failedBefore = failed[0];
        return doReadMessages(waiting) > 0 || failed[0] > failedBefore && failed[0] < MOST_FAILURES;
    }
}

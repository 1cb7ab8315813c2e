package walkpost.proxy;

import java.util.ArrayList;

/**
 * A listening socket that belongs to this proxy alone and accepts the queued connections before it closes. The proxy owes an answer to each
 * client that has connected, even if it is not accepted yet, but the system resets the connections that wait in the accept queue of a
 * socket that is closed. Used on its event loop only.
 */
class DrainingServerSocketChannel extends RetryingServerSocketChannel {
    /** The limit of connections accepted during the close. They may exceed the descriptor limit, and 48 leaves some spare descriptors. */
    private static final int MAX_QUEUED_CONNECTIONS = 48;
    /** The limit of failed accepts during the close. They are retried at once, because the socket cannot be asked again later. */
    private static final int MAX_ACCEPT_FAILURES = 16;

    DrainingServerSocketChannel(SystemCallFailureCounter failures) {
        super(failures);
    }

    @Override
    protected void doClose() throws Exception {
        if (isActive() && !eventLoop().isShuttingDown()) {
            var failureCount = new int[1];
            onAcceptFailure(() -> failureCount[0]++);
            var accepted = new ArrayList<Object>();
            while (accepted.size() < MAX_QUEUED_CONNECTIONS && acceptNext(accepted, failureCount)) {
                // The condition accepts the next connection; this does not block.
            }
            accepted.forEach(pipeline()::fireChannelRead);
        }
        super.doClose();
    }

    /** Accepts one connection if one is queued; returns whether to try again, after a connection or a failure. */
    private boolean acceptNext(ArrayList<Object> accepted, int[] failureCount) {
        int failuresBefore = failureCount[0];
        return doReadMessages(accepted) > 0 || failureCount[0] > failuresBefore && failureCount[0] < MAX_ACCEPT_FAILURES;
    }
}

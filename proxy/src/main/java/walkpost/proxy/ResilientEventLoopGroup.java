package walkpost.proxy;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * A group of one event loop that goes on after an error has left its work. Netty's own loop ends its thread then, and with it the process,
 * although an {@link OutOfMemoryError} in one connection's work leaves all others intact. Sockets whose work was interrupted are reported
 * again by the next poll.
 */
final class ResilientEventLoopGroup extends MultiThreadIoEventLoopGroup {
    /**
     * Creates the group; its loop starts with its first task.
     *
     * @param onError gets each error, on the loop; may end the process, and is expected not to throw
     */
    ResilientEventLoopGroup(IoHandlerFactory ioHandlers, Consumer<Throwable> onError) {
        super(1, (Executor) null, ioHandlers, onError);
    }

    @Override
    @SuppressWarnings("unchecked")
    protected IoEventLoop newChild(Executor executor, IoHandlerFactory ioHandlers, Object... arguments) {
        return new ResilientEventLoop(this, executor, ioHandlers, (Consumer<Throwable>) arguments[0]);
    }

    private static final class ResilientEventLoop extends SingleThreadIoEventLoop {
        private final Consumer<Throwable> onError;

        ResilientEventLoop(ResilientEventLoopGroup parent, Executor executor, IoHandlerFactory ioHandlers, Consumer<Throwable> onError) {
            super(parent, executor, ioHandlers);
            this.onError = onError;
        }

        @Override
        protected void run() {
            while (!hasRunToItsEnd()) {
                // Runs on.
            }
        }

        /** Runs until the loop is shut down or an error leaves its work; returns whether it was shut down. */
        private boolean hasRunToItsEnd() {
            try {
                super.run();
                return true;
            } catch (Throwable error) {
                onError.accept(error);
                return false;
            }
        }
    }
}

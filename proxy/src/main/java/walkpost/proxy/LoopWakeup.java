package walkpost.proxy;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.io.IOException;

/**
 * How a loop learns of tasks from other threads. Waking it is a write to a descriptor of the system's and a read on the loop. Where the
 * write fails the JDK throws an {@link InternalError}, which would end the loop or the thread that has the task; where the read fails Netty
 * sleeps for a second. So a failed write is only counted, as the task is queued by then; and once a timer of the loop's own runs each few
 * milliseconds, tasks wait for that and the loop need not be woken at all.
 */
final class LoopWakeup implements IoHandlerFactory {
    private final IoHandlerFactory factory;
    private final SystemCallFailures failures;
    private volatile boolean timed;

    /** Creates handlers as a factory makes them, whose loops are woken in this way. */
    LoopWakeup(IoHandlerFactory factory, SystemCallFailures failures) {
        this.factory = factory;
        this.failures = failures;
    }

    /** From now on the loop looks for tasks by a timer of its own. */
    void byTimer() {
        timed = true;
    }

    @Override
    public IoHandler newHandler(ThreadAwareExecutor executor) {
        return new Handler(factory.newHandler(executor));
    }

    @Override
    public boolean isChangingThreadSupported() {
        return factory.isChangingThreadSupported();
    }

    private void failed(InternalError error) {
        if (!(error.getCause() instanceof IOException cause)) {
            throw error;
        }
        failures.failed("wakeup", cause);
    }

    private final class Handler implements IoHandler {
        private final IoHandler made;

        Handler(IoHandler made) {
            this.made = made;
        }

        @Override
        public void wakeup() {
            if (timed) {
                return;
            }
            try {
                made.wakeup();
            } catch (InternalError e) {
                failed(e);
            }
        }

        @Override
        public int run(IoHandlerContext context) {
            try {
                return made.run(context);
            } catch (InternalError e) {
                failed(e);
                return 0;
            }
        }

        @Override
        public void initialize() {
            made.initialize();
        }

        @Override
        public void prepareToDestroy() {
            made.prepareToDestroy();
        }

        @Override
        public void destroy() {
            made.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return made.register(handle);
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return made.isCompatible(type);
        }
    }
}

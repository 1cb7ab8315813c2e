package walkpost.proxy;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.io.IOException;

/**
 * Creates the I/O handlers of event loops that survive failed wake-ups. Waking a loop for a task of another thread takes a write to a
 * system descriptor and a read on the loop. If the write fails, the JDK throws an {@link InternalError}, which would end the loop or the
 * thread that submits the task; if the read fails, Netty sleeps for a second. These handlers therefore only count a failed write,
 * because the task is in the queue by then. Once a timer of the loop itself runs every few milliseconds, they stop waking the loop, and
 * tasks wait for that timer. Any thread may wake a loop; everything else runs on the loop.
 */
final class FaultTolerantIoHandlerFactory implements IoHandlerFactory {
    private final IoHandlerFactory delegate;
    private final SystemCallFailureCounter failures;
    private volatile boolean timerRuns;

    /** Creates a factory that wraps the handlers of another one. */
    FaultTolerantIoHandlerFactory(IoHandlerFactory delegate, SystemCallFailureCounter failures) {
        this.delegate = delegate;
        this.failures = failures;
    }

    /** Stops waking the loop from now on, because a timer of its own makes it look for tasks. */
    void relyOnTimer() {
        timerRuns = true;
    }

    @Override
    public IoHandler newHandler(ThreadAwareExecutor executor) {
        return new Handler(delegate.newHandler(executor));
    }

    @Override
    public boolean isChangingThreadSupported() {
        return delegate.isChangingThreadSupported();
    }

    private void wakeupFailed(InternalError error) {
        if (!(error.getCause() instanceof IOException cause)) {
            throw error;
        }
        failures.record("wakeup", cause);
    }

    private final class Handler implements IoHandler {
        private final IoHandler wrapped;

        Handler(IoHandler wrapped) {
            this.wrapped = wrapped;
        }

        @Override
        public void wakeup() {
            if (timerRuns) {
                return;
            }
            try {
                wrapped.wakeup();
            } catch (InternalError e) {
                wakeupFailed(e);
            }
        }

        @Override
        public int run(IoHandlerContext context) {
            try {
                return wrapped.run(context);
            } catch (InternalError e) {
                wakeupFailed(e);
                return 0;
            }
        }

        @Override
        public void initialize() {
            wrapped.initialize();
        }

        @Override
        public void prepareToDestroy() {
            wrapped.prepareToDestroy();
        }

        @Override
        public void destroy() {
            wrapped.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return wrapped.register(handle);
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return wrapped.isCompatible(type);
        }
    }
}

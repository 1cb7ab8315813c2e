package walkpost.proxy;

import java.lang.reflect.InvocationHandler;

/**
 * Hears the signals for which the JDK has a handler of its own: on SIGHUP that handler ends the process. There is no
 * other way than {@code sun.misc.Signal}, and the compiler warns of its very name, so it is reached by reflection.
 */
final class Signals {
    private Signals() { }

    /** Has a task run, on a thread of its own, whenever the process gets the signal of that name. */
    static void handle(String name, Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler run = (proxy, method, args) -> {
                if (method.getDeclaringClass() == handler) {
                    task.run();
                }
                return null;
            };
            signal.getMethod("handle", signal, handler).invoke(null, signal.getConstructor(String.class).newInstance(name),
                    java.lang.reflect.Proxy.newProxyInstance(Signals.class.getClassLoader(), new Class<?>[] {handler}, run));
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("no handler for SIG" + name, e);
        }
    }
}

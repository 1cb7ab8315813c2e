package walkpost.proxy;

import java.lang.reflect.InvocationHandler;

/**
 * Handles signals for which the JDK has a handler of its own, such as SIGHUP, on which that handler ends the process. The only way to
 * replace it is {@code sun.misc.Signal}. The code reaches that class by reflection, because the compiler warns of every direct use.
 */
final class Signals {
    private Signals() { }

    /**
     * Runs a task, on a thread of its own, whenever the process gets a signal.
     *
     * @param name the name of the signal without SIG, such as HUP
     */
    static void handle(String name, Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler runTask = (proxy, method, args) -> {
                if (method.getDeclaringClass() == handler) {
                    task.run();
                }
                return null;
            };
            signal.getMethod("handle", signal, handler).invoke(null, signal.getConstructor(String.class).newInstance(name),
                    java.lang.reflect.Proxy.newProxyInstance(Signals.class.getClassLoader(), new Class<?>[] {handler}, runTask));
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("can't install a handler for SIG" + name, e);
        }
    }
}

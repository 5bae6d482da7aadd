package firwheel.cli;

import java.lang.reflect.Proxy;

/**
 * Handles signals of the operating system. The JDK publishes no interface for them; its unsupported one is called by
 * reflection because the compiler warns about direct use.
 */
final class Signals {
    private Signals() {}

    /** Runs {@code action} on each arrival of the signal, such as {@code TERM}, in place of the default. */
    static void handle(String name, Runnable action) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object handler = Proxy.newProxyInstance(
                    Signals.class.getClassLoader(), new Class<?>[] {handlerType}, (proxy, method, arguments) -> {
                        action.run();
                        return null;
                    });
            Object signal = signalType.getConstructor(String.class).newInstance(name);
            signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, handler);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot handle signal " + name, e);
        }
    }
}

package firwheel.cli;

import java.lang.reflect.Proxy;

/**
 * Installs handlers for operating-system signals. The JDK has no supported API for them; {@code sun.misc.Signal} is
 * called by reflection because its direct use causes a compiler warning.
 */
final class Signals {
    private Signals() {}

    /** Runs {@code action} on each arrival of the signal, such as {@code TERM}, instead of the default action. */
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

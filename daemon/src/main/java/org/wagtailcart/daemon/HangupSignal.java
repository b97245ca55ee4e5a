package org.wagtailcart.daemon;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.wagtailcart.common.LogEvent;

/** The signal that tells a process that its settings file has changed; without a handler it would end the process. */
final class HangupSignal {
    private static final Logger LOG = System.getLogger(HangupSignal.class.getName());

    private HangupSignal() {}

    /** Runs an action at each signal. The JDK's own interface to signals is internal, so it is reached by reflection. */
    static void handle(Runnable action) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            InvocationHandler invocation = (proxy, method, arguments) -> {
                if (method.getName().equals("handle")) {
                    action.run();
                }
                return null;
            };
            Object handler = Proxy.newProxyInstance(
                    HangupSignal.class.getClassLoader(), new Class<?>[] {handlerClass}, invocation);
            Object signal = signalClass.getConstructor(String.class).newInstance("HUP");
            Object unused =
                    signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signal, handler);
        } catch (ReflectiveOperationException e) {
            LOG.log(Level.WARNING, LogEvent.of("hangup-not-handled", "reason", e));
        }
    }
}

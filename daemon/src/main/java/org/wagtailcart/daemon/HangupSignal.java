package org.wagtailcart.daemon;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.wagtailcart.common.LogEvent;

/** Handler registration for SIGHUP, which requests a reload of the settings file; without a handler it ends the JVM. */
final class HangupSignal {
    private static final Logger LOG = System.getLogger(HangupSignal.class.getName());

    private HangupSignal() {}

    /** Runs an action at each SIGHUP. The signal API of the JDK is internal, so it is called by reflection. */
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

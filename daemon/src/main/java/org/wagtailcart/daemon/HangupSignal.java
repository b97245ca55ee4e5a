package org.wagtailcart.daemon;

import java.lang.System.Logger.Level;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.LogEvent;

/**
 * Handler of SIGHUP, which requests a reload of the settings file; without a handler the signal ends the JVM. A signal
 * that arrives before the reload action is known is kept until then.
 */
final class HangupSignal implements InvocationHandler {
    private @Nullable Runnable reload;
    private @Nullable ReflectiveOperationException installError;
    private boolean pending;

    private HangupSignal() {}

    /**
     * Installs the handler. It logs nothing and uses no lambda, because a signal that arrives earlier ends the process
     * and either would delay the installation. The signal API of the JDK is internal, so it is called by reflection.
     */
    static HangupSignal install() {
        HangupSignal hangup = new HangupSignal();
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object handler =
                    Proxy.newProxyInstance(HangupSignal.class.getClassLoader(), new Class<?>[] {handlerClass}, hangup);
            Object signal = signalClass.getConstructor(String.class).newInstance("HUP");
            Object unused =
                    signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signal, handler);
        } catch (ReflectiveOperationException e) {
            hangup.installError = e;
        }
        return hangup;
    }

    /** Runs an action at each SIGHUP from now on, and at once if signals have arrived before. */
    synchronized void onHangup(Runnable action) {
        if (installError != null) {
            System.getLogger(HangupSignal.class.getName())
                    .log(Level.WARNING, LogEvent.of("hangup-not-handled", "reason", installError));
        }
        reload = action;
        if (pending) {
            pending = false;
            action.run();
        }
    }

    /** Receives a call of the signal handler's methods. */
    @Override
    public @Nullable Object invoke(Object proxy, Method method, @Nullable Object[] arguments) {
        if (method.getName().equals("handle")) {
            onSignal();
        }
        return null;
    }

    private synchronized void onSignal() {
        if (reload == null) {
            pending = true;
        } else {
            reload.run();
        }
    }
}

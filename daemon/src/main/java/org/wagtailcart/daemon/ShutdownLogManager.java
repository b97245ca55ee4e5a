package org.wagtailcart.daemon;

import java.util.logging.LogManager;

/**
 * Log manager that keeps its handlers during shutdown. The JDK's shutdown hook would remove them immediately, and the
 * log events of the shutdown would be lost.
 */
public final class ShutdownLogManager extends LogManager {
    private static volatile boolean shuttingDown;

    /** Called by the JDK by reflection. */
    public ShutdownLogManager() {}

    /** Makes {@link #reset} keep the handlers from now on. */
    static void keepHandlers() {
        shuttingDown = true;
    }

    @Override
    public void reset() {
        if (!shuttingDown) {
            super.reset();
        }
    }
}

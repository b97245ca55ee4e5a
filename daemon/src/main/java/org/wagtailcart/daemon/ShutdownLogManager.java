package org.wagtailcart.daemon;

import java.util.logging.LogManager;

/**
 * Log manager that keeps its handlers while the process shuts down. The JDK's own shutdown hook would remove them at
 * once, and the events of the shutdown would be lost.
 */
public final class ShutdownLogManager extends LogManager {
    private static volatile boolean shuttingDown;

    /** Created by the JDK. */
    public ShutdownLogManager() {}

    /** Keeps the handlers from now on. */
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

package org.wagtailcart.daemon;

import com.codahale.metrics.MetricRegistry;
import java.util.Arrays;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import org.wagtailcart.settings.process.LogLevel;

/** Configures {@code java.util.logging}, the backend of {@code System.Logger}, with the level and format to use. */
final class LogSetup {
    /** Strong reference, because the log manager discards unreferenced loggers together with their level. */
    private static final Logger PRODUCT_LOGGER = Logger.getLogger("org.wagtailcart");

    private LogSetup() {}

    /**
     * Replaces all handlers by one that writes text to standard error or JSON to standard output. Loggers of libraries
     * log warnings and errors only.
     */
    static void install(LogLevel level, LogFormat format, MetricRegistry registry) {
        LogManager.getLogManager().reset();
        Handler handler =
                switch (format) {
                    case TEXT -> textHandler(format);
                    case JSON -> new JsonLineHandler(registry);
                };
        handler.setLevel(Level.ALL);
        Logger root = Logger.getLogger("");
        Arrays.stream(root.getHandlers()).forEach(root::removeHandler);
        root.addHandler(handler);
        root.setLevel(Level.WARNING);
        PRODUCT_LOGGER.setLevel(toJavaLevel(level));
    }

    private static Handler textHandler(LogFormat format) {
        Handler handler = new ConsoleHandler();
        handler.setFormatter(format.formatter());
        return handler;
    }

    private static Level toJavaLevel(LogLevel level) {
        return switch (level) {
            case DEBUG -> Level.FINE;
            case INFO -> Level.INFO;
            case WARNING -> Level.WARNING;
            case ERROR -> Level.SEVERE;
        };
    }
}

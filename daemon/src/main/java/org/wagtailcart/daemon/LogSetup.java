package org.wagtailcart.daemon;

import com.codahale.metrics.MetricRegistry;
import java.util.Arrays;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import org.wagtailcart.settings.process.LogLevel;

/** Installs level and format of the settings in the JDK's logging, which stands behind {@code System.Logger}. */
final class LogSetup {
    /** Held strongly, because the log manager drops loggers that nobody references and with them their level. */
    private static final Logger PRODUCT_LOGGER = Logger.getLogger("org.wagtailcart");

    private LogSetup() {}

    /**
     * Replaces all handlers by one: text goes to standard error, JSON to standard output. Libraries log warnings and errors
     * only.
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

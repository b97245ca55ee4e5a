package org.wagtailcart.testing;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/** Collects the log records of the process down to level FINE until it is closed. */
public final class LogCapture implements AutoCloseable {
    private final Queue<String> records = new ConcurrentLinkedQueue<>();
    private final Logger rootLogger = Logger.getLogger("");
    private final Level rootLevel = rootLogger.getLevel();
    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord record) {
            records.add(new SimpleFormatter().format(record));
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    /** Starts to collect log records. */
    public LogCapture() {
        handler.setLevel(Level.ALL);
        rootLogger.setLevel(Level.FINE);
        rootLogger.addHandler(handler);
    }

    /** Returns the formatted records so far. */
    public String text() {
        return String.join("", records);
    }

    @Override
    public void close() {
        rootLogger.removeHandler(handler);
        rootLogger.setLevel(rootLevel);
    }
}

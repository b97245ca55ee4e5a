package org.wagtailcart.settings.process;

/** Format of a log line. */
public enum LogFormat {
    /** Time, level and the event's {@code key=value} fields. */
    TEXT,
    /** One JSON object. */
    JSON
}

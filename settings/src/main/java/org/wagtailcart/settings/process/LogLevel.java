package org.wagtailcart.settings.process;

/** Lowest level of events that are logged. */
public enum LogLevel {
    DEBUG,
    INFO,
    WARNING,
    ERROR
}

package org.wagtailcart.settings.process;

/** Lowest severity of logged events. */
public enum LogLevel {
    DEBUG,
    INFO,
    WARNING,
    ERROR
}

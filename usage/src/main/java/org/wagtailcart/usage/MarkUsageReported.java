package org.wagtailcart.usage;

/**
 * Command that records that the platform accepted the report of a window.
 *
 * @param window number of the window
 */
public record MarkUsageReported(long window) {}

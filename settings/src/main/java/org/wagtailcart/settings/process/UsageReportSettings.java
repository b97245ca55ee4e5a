package org.wagtailcart.settings.process;

/**
 * Reports of the requests of each workspace to the platform.
 *
 * @param windowMillis length of a window
 * @param lateMillis time after the end of a window at which its report is late
 */
public record UsageReportSettings(long windowMillis, long lateMillis) {}

package org.wagtailcart.control.usage;

import org.wagtailcart.usage.ClosedUsageWindow;
import org.wagtailcart.usage.UsageReportOutcome;

/** Client of the platform that accepts usage reports. */
@FunctionalInterface
public interface UsageReportClient {
    /**
     * Sends the report of a window and waits for the response.
     *
     * @param holder name of the process that reports
     * @param fencingToken token of its lease
     * @param sendByMillis monotonic time after which nothing is sent
     */
    UsageReportOutcome report(String holder, long fencingToken, ClosedUsageWindow window, long sendByMillis);
}

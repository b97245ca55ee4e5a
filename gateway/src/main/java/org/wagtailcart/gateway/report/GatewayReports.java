package org.wagtailcart.gateway.report;

import java.util.List;
import org.wagtailcart.control.client.FleetReport;
import org.wagtailcart.control.client.GatewayReport;

/** Composes the report of this gateway for each poll, and applies what the control group replies. Thread safe. */
public final class GatewayReports {
    /** Returns the report for the next poll. */
    public GatewayReport collect() {
        return new GatewayReport(System.currentTimeMillis(), null, List.of(), List.of());
    }

    /**
     * Applies the reply to a poll.
     *
     * @param receivedAtMillis monotonic time at which the reply arrived
     */
    public void apply(FleetReport fleet, long receivedAtMillis) {}
}

package org.wagtailcart.gateway.report;

import java.util.List;
import org.wagtailcart.control.client.FleetReport;
import org.wagtailcart.control.client.GatewayReport;

/** Composes the report of this gateway for each poll, and applies what the control group replies. Thread safe. */
public final class GatewayReports {
    private final UsageReports usage;

    /** Creates reports without usage counts. */
    public GatewayReports() {
        this(UsageReports.NONE);
    }

    /** Creates reports with the counts of requests that began to run. */
    public GatewayReports(UsageReports usage) {
        this.usage = usage;
    }

    /** Returns the report for the next poll. */
    public GatewayReport collect() {
        return new GatewayReport(System.currentTimeMillis(), usage.nextBatch().orElse(null), List.of(), List.of());
    }

    /**
     * Applies the reply to a poll.
     *
     * @param receivedAtMillis monotonic time at which the reply arrived
     */
    public void apply(FleetReport fleet, long receivedAtMillis) {
        usage.applyReply(fleet.trueTimeMillis(), fleet.usageSequence(), receivedAtMillis);
    }
}

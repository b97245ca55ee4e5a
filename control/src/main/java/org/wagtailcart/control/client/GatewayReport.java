package org.wagtailcart.control.client;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.policy.placement.EngineRate;
import org.wagtailcart.policy.share.WorkspaceDemand;
import org.wagtailcart.usage.UsageBatch;

/**
 * What a gateway reports with each poll about its own clock and the load that it sees.
 *
 * @param wallClockMillis time of day of the gateway when it sent the poll
 * @param usage counts of requests that began to run, null when there are none to send
 * @param engineRates prefill rates that the gateway has learned, empty without news
 * @param demand demand of the workspaces that had requests lately
 */
public record GatewayReport(
        long wallClockMillis, @Nullable UsageBatch usage, List<EngineRate> engineRates, List<WorkspaceDemand> demand) {}

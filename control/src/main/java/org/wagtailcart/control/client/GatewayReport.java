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
 * @param engineRates updates of prefill rates: the median of the new samples of each engine, and after a change of
 *     member the rates that the gateway knows, with a sample count of 0
 * @param demand demand of the workspaces that had requests lately
 * @param engineRatesVersion version of the rates in the last reply of the member, 0 to get all rates
 */
public record GatewayReport(
        long wallClockMillis,
        @Nullable UsageBatch usage,
        List<EngineRate> engineRates,
        List<WorkspaceDemand> demand,
        long engineRatesVersion) {}

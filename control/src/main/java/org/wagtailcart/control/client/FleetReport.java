package org.wagtailcart.control.client;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.policy.placement.EngineRate;
import org.wagtailcart.policy.share.ServiceCapacity;
import org.wagtailcart.policy.share.WorkspaceShare;

/**
 * What a control member knows from the reports of all gateways.
 *
 * @param trueTimeMillis estimate of the true time of day when the member replied, 0 when it has none
 * @param usageSequence number of the last usage batch of the gateway that the member has, 0 for none
 * @param engineRates prefill rates of engines that changed since the version that the gateway has
 * @param shares limits on the workspaces that exceed their share; valid for a short time only
 * @param engineRatesVersion version of the prefill rates that the gateway has with this reply, 0 for none
 * @param contended contended services, to which the shares refer; null when the reply says nothing about shares,
 *     because the member sent them shortly before, is not the leader or has just become it
 */
public record FleetReport(
        long trueTimeMillis,
        long usageSequence,
        List<EngineRate> engineRates,
        List<WorkspaceShare> shares,
        long engineRatesVersion,
        @Nullable List<ServiceCapacity> contended) {
    /** Returns the report without the shares, which only the leader knows. */
    public FleetReport withoutShares() {
        return new FleetReport(trueTimeMillis, usageSequence, engineRates, List.of(), engineRatesVersion, null);
    }
}

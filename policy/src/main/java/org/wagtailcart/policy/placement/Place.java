package org.wagtailcart.policy.placement;

import org.wagtailcart.common.Regions;

/**
 * Where a gateway runs.
 *
 * @param failureDomain its failure domain
 * @param regions regions of all failure domains
 */
public record Place(String failureDomain, Regions regions) {
    Distance to(EngineView engine) {
        return Distance.between(failureDomain, engine.failureDomain(), regions);
    }

    Distance between(EngineView first, EngineView second) {
        return Distance.between(first.failureDomain(), second.failureDomain(), regions);
    }

    String regionOf(EngineView engine) {
        return regions.of(engine.failureDomain());
    }
}

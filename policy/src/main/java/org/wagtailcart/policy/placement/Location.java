package org.wagtailcart.policy.placement;

import org.wagtailcart.common.Regions;

/**
 * Location of a gateway, from which distances to engines are measured.
 *
 * @param failureDomain its failure domain
 * @param regions regions of all failure domains
 */
public record Location(String failureDomain, Regions regions) {
    Distance distanceTo(EngineCandidate engine) {
        return Distance.between(failureDomain, engine.failureDomain(), regions);
    }

    Distance distanceBetween(EngineCandidate first, EngineCandidate second) {
        return Distance.between(first.failureDomain(), second.failureDomain(), regions);
    }

    String regionOf(EngineCandidate engine) {
        return regions.regionOf(engine.failureDomain());
    }
}

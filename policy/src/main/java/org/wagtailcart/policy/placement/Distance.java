package org.wagtailcart.policy.placement;

import org.wagtailcart.common.Regions;

/** How far two hosts are from each other, and what that costs a request. */
public enum Distance {
    /** Within a failure domain. */
    SAME_DOMAIN(1, 0, 0),
    /** Between failure domains of a region. */
    SAME_REGION(2, 40, 0.12),
    /** Between regions. */
    OTHER_REGION(10, 150, 1.2);

    private final int transferFactor;
    private final double penaltyMillis;
    private final double loadPenalty;

    Distance(int transferFactor, double preferenceMillis, double preferenceLoad) {
        this.transferFactor = transferFactor;
        this.penaltyMillis = preferenceMillis;
        this.loadPenalty = preferenceLoad;
    }

    /** Returns the distance of two failure domains. */
    public static Distance between(String domain, String other, Regions regions) {
        if (domain.equals(other)) {
            return SAME_DOMAIN;
        }
        return regions.regionOf(domain).equals(regions.regionOf(other)) ? SAME_REGION : OTHER_REGION;
    }

    /** Returns how many times as long a transfer of KV cache takes as within a failure domain. */
    int transferFactor() {
        return transferFactor;
    }

    /** Returns the time by which an engine at this distance must be better; the prompt's text crosses to it. */
    double penaltyMillis() {
        return penaltyMillis;
    }

    /** Returns the share of an engine's slots by which an engine at this distance must be better. */
    double loadPenalty() {
        return loadPenalty;
    }
}

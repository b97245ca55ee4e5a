package org.wagtailcart.policy.placement;

import org.wagtailcart.common.Regions;

/** Network distance between two failure domains, and what it costs a request. */
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

    Distance(int transferFactor, double penaltyMillis, double loadPenalty) {
        this.transferFactor = transferFactor;
        this.penaltyMillis = penaltyMillis;
        this.loadPenalty = loadPenalty;
    }

    /** Returns the distance between two failure domains. */
    public static Distance between(String domain, String other, Regions regions) {
        if (domain.equals(other)) {
            return SAME_DOMAIN;
        }
        return regions.regionOf(domain).equals(regions.regionOf(other)) ? SAME_REGION : OTHER_REGION;
    }

    /** Returns the duration of a KV cache transfer relative to one within a failure domain. */
    int transferFactor() {
        return transferFactor;
    }

    /** Returns the time by which an engine at this distance must be faster, because the prompt's text is sent to it. */
    double penaltyMillis() {
        return penaltyMillis;
    }

    /** Returns the share of an engine's slots by which an engine at this distance must be less loaded. */
    double loadPenalty() {
        return loadPenalty;
    }
}

package org.wagtailcart.common;

import java.util.Map;

/**
 * Mapping from failure domains to regions.
 *
 * @param regionByFailureDomain region by failure domain; all failure domains without an entry share one unnamed region
 */
public record Regions(Map<String, String> regionByFailureDomain) {
    /** Mapping that puts all failure domains into one region. */
    public static final Regions SINGLE = new Regions(Map.of());

    /** Returns the region of a failure domain; empty for the unnamed region. */
    public String regionOf(String failureDomain) {
        return regionByFailureDomain.getOrDefault(failureDomain, "");
    }

    /** Returns whether failure domains are mapped to more than one named region. */
    public boolean hasMultiple() {
        return regionByFailureDomain.values().stream().distinct().count() > 1;
    }
}

package org.wagtailcart.common;

import java.util.Map;

/**
 * The region of each failure domain.
 *
 * @param regionByFailureDomain names of the regions; a failure domain that is missing belongs to a region of all such
 */
public record Regions(Map<String, String> regionByFailureDomain) {
    /** A single region. */
    public static final Regions SINGLE = new Regions(Map.of());

    /** Returns the region of a failure domain, empty when it has none. */
    public String regionOf(String failureDomain) {
        return regionByFailureDomain.getOrDefault(failureDomain, "");
    }

    /** Returns whether there are several regions. */
    public boolean hasMultiple() {
        return regionByFailureDomain.values().stream().distinct().count() > 1;
    }
}

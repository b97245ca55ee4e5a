package org.wagtailcart.gateway.list;

import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Restriction of the upstreams to which a request may be sent.
 *
 * @param excludedIds instance ids of upstreams that are not tried again
 * @param softwareVersion the only software version that may continue the stream of the request, null for any; no upstream
 *     has the unknown version, which is empty
 */
public record UpstreamFilter(Set<String> excludedIds, @Nullable String softwareVersion) {
    /** Returns a filter without a restriction of the version. */
    public static UpstreamFilter excluding(Set<String> ids) {
        return new UpstreamFilter(ids, null);
    }

    boolean admits(Upstream upstream) {
        boolean versionFits = softwareVersion == null || upstream.hasSoftwareVersion(softwareVersion);
        return versionFits && !excludedIds.contains(upstream.id());
    }
}

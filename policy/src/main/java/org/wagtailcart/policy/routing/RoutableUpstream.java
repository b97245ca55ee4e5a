package org.wagtailcart.policy.routing;

import org.wagtailcart.common.EngineRole;

/**
 * An upstream that may receive new work.
 *
 * @param upstreamId upstream
 * @param pool model name of an engine, or service name
 * @param failureDomain failure domain
 * @param role role of an engine; MIXED for a service
 * @param maxInFlight requests it takes at once
 */
public record RoutableUpstream(
        String upstreamId, String pool, String failureDomain, EngineRole role, int maxInFlight) {}

package org.wagtailcart.policy.routing;

import org.wagtailcart.common.EngineRole;

/**
 * Upstream that accepts new requests.
 *
 * @param upstreamId identity
 * @param pool model name of an engine, or service name
 * @param failureDomain where it runs
 * @param role role of an engine; MIXED for a service
 * @param maxInFlight requests that it accepts at once, of all entries
 */
public record RoutableUpstream(
        String upstreamId, String pool, String failureDomain, EngineRole role, int maxInFlight) {}

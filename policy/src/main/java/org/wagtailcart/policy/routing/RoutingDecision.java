package org.wagtailcart.policy.routing;

import java.util.Optional;

/**
 * Where a request goes.
 *
 * @param prefillUpstreamId engine that processes the prompt first and hands its KV cache on; empty when one upstream does all
 * @param upstreamId upstream that generates the answer
 */
public record RoutingDecision(Optional<String> prefillUpstreamId, String upstreamId) {}

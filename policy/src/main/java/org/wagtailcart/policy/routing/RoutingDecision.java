package org.wagtailcart.policy.routing;

import java.util.Optional;

/**
 * Upstreams chosen for a request.
 *
 * @param prefillUpstreamId separate engine that prefills the prompt and transfers its KV cache, if any
 * @param upstreamId upstream that produces the response
 */
public record RoutingDecision(Optional<String> prefillUpstreamId, String upstreamId) {}

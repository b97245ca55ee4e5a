package org.wagtailcart.control.client;

/**
 * Permission for an engine to run above the soft limit. Carries a duration because the clocks of hosts differ; the
 * receiver computes the deadline.
 *
 * @param upstreamId engine
 * @param validMillis remaining validity when the grant is sent
 */
public record PowerGrant(String upstreamId, long validMillis) {}

package org.wagtailcart.policy.power;

/**
 * Permission for an engine to run above the soft limit until a deadline.
 *
 * @param upstreamId engine
 * @param deadlineMillis time from which it must stay within the soft limit again
 */
public record EngineGrant(String upstreamId, long deadlineMillis) {}

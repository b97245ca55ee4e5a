package org.wagtailcart.policy.power;

/**
 * Permission for an engine to run hard.
 *
 * @param upstreamId engine
 * @param deadlineMillis time from which it runs at the soft limit again
 */
public record EngineGrant(String upstreamId, long deadlineMillis) {}

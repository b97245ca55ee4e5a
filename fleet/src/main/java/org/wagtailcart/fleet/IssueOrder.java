package org.wagtailcart.fleet;

import org.wagtailcart.common.EngineTarget;

/**
 * Command: orders an engine to change to a configuration.
 *
 * @param changeId identifies the order; a resent order gets the first result again
 * @param upstreamId engine
 * @param target desired configuration
 * @param expectedOrderNumber latest order number that the issuer read; any other latest order refuses this one
 */
public record IssueOrder(String changeId, String upstreamId, EngineTarget target, long expectedOrderNumber) {}

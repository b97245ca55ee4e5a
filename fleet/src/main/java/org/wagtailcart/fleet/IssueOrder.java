package org.wagtailcart.fleet;

import org.wagtailcart.common.EngineTarget;

/**
 * Command: orders an engine to take a configuration.
 *
 * @param changeId identifies the order; a resent order gets the first result
 * @param upstreamId engine
 * @param target desired configuration
 * @param expectedOrderNumber latest order number the issuer saw; another one refuses the order
 */
public record IssueOrder(String changeId, String upstreamId, EngineTarget target, long expectedOrderNumber) {}

package org.wagtailcart.fleet;

import org.wagtailcart.common.Lifecycle;

/**
 * Command: changes the lifecycle of an upstream.
 *
 * @param changeId identifies the change; a resent change gets the first result
 * @param operator who made it; {@code planner} for changes of the system itself
 * @param upstreamId upstream
 * @param lifecycle new state
 * @param replacementId upstream that takes its place for REPLACED, else empty
 */
public record SetLifecycle(
        String changeId, String operator, String upstreamId, Lifecycle lifecycle, String replacementId) {}

package org.wagtailcart.fleet;

import org.wagtailcart.common.Lifecycle;

/**
 * Command: changes the lifecycle of an upstream.
 *
 * @param changeId identifies the change; a resent change gets the first result again
 * @param operator who requested the change; {@code planner} for changes by the system itself
 * @param upstreamId upstream to change
 * @param lifecycle new state
 * @param replacementId upstream that replaces it when the new state is REPLACED, else empty
 */
public record SetLifecycle(
        String changeId, String operator, String upstreamId, Lifecycle lifecycle, String replacementId) {}

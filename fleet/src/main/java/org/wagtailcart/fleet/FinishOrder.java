package org.wagtailcart.fleet;

import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.EngineTarget;

/**
 * Command: a sidecar reports the outcome of a started order.
 *
 * @param upstreamId engine
 * @param orderNumber the order
 * @param epoch epoch of the sidecar, the latest one
 * @param succeeded whether the engine has the ordered configuration
 * @param observed configuration the engine reported, null when it reported none
 * @param failureReason reason of a failure, else empty
 */
public record FinishOrder(
        String upstreamId,
        long orderNumber,
        long epoch,
        boolean succeeded,
        @Nullable EngineTarget observed,
        String failureReason) {}

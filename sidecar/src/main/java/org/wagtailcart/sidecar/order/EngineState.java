package org.wagtailcart.sidecar.order;

import org.wagtailcart.common.EngineTarget;

/**
 * What an engine tells about itself.
 *
 * @param target configuration in force
 * @param fencingToken number of the latest order it took, 0 for none since its start
 * @param changing whether it is carrying an order out
 */
public record EngineState(EngineTarget target, long fencingToken, boolean changing) {}

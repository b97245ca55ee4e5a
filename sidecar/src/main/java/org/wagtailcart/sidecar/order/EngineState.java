package org.wagtailcart.sidecar.order;

import org.wagtailcart.common.EngineTarget;

/**
 * State that an engine reports.
 *
 * @param target configuration in force
 * @param fencingToken number of the latest order that the engine accepted, 0 if none since its start
 * @param changing whether the engine is carrying out an order
 */
public record EngineState(EngineTarget target, long fencingToken, boolean changing) {}

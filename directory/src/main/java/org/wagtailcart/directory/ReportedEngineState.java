package org.wagtailcart.directory;

import org.wagtailcart.common.EngineRole;

/**
 * State that an engine reports about itself.
 *
 * @param role its role
 * @param changing whether it is executing an order
 * @param orderCount number of orders that it has accepted since its start
 */
public record ReportedEngineState(EngineRole role, boolean changing, long orderCount) {}

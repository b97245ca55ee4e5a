package org.wagtailcart.directory;

import org.wagtailcart.common.EngineRole;

/**
 * What an engine says of itself.
 *
 * @param role its role
 * @param changing whether it carries out an order
 * @param orderCount orders that it has accepted since its start
 */
public record ReportedEngineState(EngineRole role, boolean changing, long orderCount) {}

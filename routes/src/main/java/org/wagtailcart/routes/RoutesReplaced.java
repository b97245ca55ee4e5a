package org.wagtailcart.routes;

/**
 * Result of {@link ReplaceRoutes}.
 *
 * @param version version in force now
 * @param replaced whether the command changed it
 */
public record RoutesReplaced(long version, boolean replaced) {}

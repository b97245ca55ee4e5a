package org.wagtailcart.routes;

/**
 * Reply to {@link ReplaceRoutes}.
 *
 * @param version version in force after the command
 * @param replaced whether the command replaced the table
 */
public record RoutesReplaced(long version, boolean replaced) {}

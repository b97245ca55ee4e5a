package org.wagtailcart.routes;

/**
 * Reply to {@link ReadRoutes}.
 *
 * @param version version of the table in force, 0 when none was accepted yet
 * @param document original text of the table from the operator
 */
public record RoutesDocument(long version, byte[] document) {}

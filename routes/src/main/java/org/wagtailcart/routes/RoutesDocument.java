package org.wagtailcart.routes;

/**
 * Answer to {@link ReadRoutes}.
 *
 * @param version version in force, 0 when no table was accepted yet
 * @param document the operator's text of it
 */
public record RoutesDocument(long version, byte[] document) {}

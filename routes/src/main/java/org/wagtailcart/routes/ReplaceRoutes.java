package org.wagtailcart.routes;

/**
 * Command that replaces the routing table. A table whose version is not above the one in force changes nothing.
 *
 * @param table complete table
 * @param document original text of the table from the operator, returned in reply to {@link ReadRoutes}
 */
public record ReplaceRoutes(RouteTable table, byte[] document) {}

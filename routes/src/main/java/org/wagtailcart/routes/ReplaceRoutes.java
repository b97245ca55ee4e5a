package org.wagtailcart.routes;

/**
 * Command that offers a complete table. A table whose version is not above the one in force changes nothing.
 *
 * @param table the table
 * @param document the operator's own text of it, returned on reads
 */
public record ReplaceRoutes(RouteTable table, byte[] document) {}

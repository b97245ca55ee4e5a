package org.wagtailcart.routes;

/**
 * Query for the routing table in force. The leader replies only after a quorum has confirmed its leadership.
 *
 * @param requesterId process that sends the query, for logs
 */
public record ReadRoutes(String requesterId) {}

package org.wagtailcart.routes;

/**
 * Query for the newest table; answered by a leader that a quorum has just confirmed.
 *
 * @param requesterId process that asks, for logs
 */
public record ReadRoutes(String requesterId) {}

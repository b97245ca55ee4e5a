package org.wagtailcart.fleet;

/** Command: a sidecar starts an order. Refused unless the order and the epoch are the latest. */
public record BeginOrder(String upstreamId, long orderNumber, long epoch) {}

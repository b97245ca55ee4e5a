package org.wagtailcart.fleet;

/** Command: a sidecar starts an order. Refused unless it is the latest order and the latest epoch. */
public record BeginOrder(String upstreamId, long orderNumber, long epoch) {}

package org.wagtailcart.fleet;

/**
 * Result of lifecycle and order commands.
 *
 * @param codeNumber number of the result code, 0 when accepted
 * @param orderNumber latest order number of the upstream
 * @param message human-readable reason of a refusal, else empty
 */
public record FleetResult(int codeNumber, long orderNumber, String message) {}

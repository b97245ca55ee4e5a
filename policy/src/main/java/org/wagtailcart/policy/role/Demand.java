package org.wagtailcart.policy.role;

/**
 * Work that arrives, whether it is served or not.
 *
 * @param promptTokensPerSecond uncached prompt tokens
 * @param outputTokensPerSecond output tokens
 */
public record Demand(double promptTokensPerSecond, double outputTokensPerSecond) {}

package org.wagtailcart.policy.role;

/**
 * Rate of arriving work, served or not.
 *
 * @param promptTokensPerSecond rate of uncached prompt tokens
 * @param outputTokensPerSecond rate of output tokens
 */
public record Demand(double promptTokensPerSecond, double outputTokensPerSecond) {}

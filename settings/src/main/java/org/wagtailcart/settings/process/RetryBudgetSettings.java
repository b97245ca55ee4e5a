package org.wagtailcart.settings.process;

/**
 * Retry budget of each service, shared by all gateways.
 *
 * @param ratio retries allowed per request
 * @param reserve retries allowed in a window beyond the ratio
 * @param windowMillis window over which requests and retries are counted
 */
public record RetryBudgetSettings(double ratio, int reserve, long windowMillis) {}

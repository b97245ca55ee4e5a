package org.wagtailcart.settings.process;

/**
 * Retry budget of each service, for all gateways together.
 *
 * @param ratio retries for each request
 * @param reserve retries beyond that
 * @param windowMillis window over which both are counted
 */
public record RetryBudgetSettings(double ratio, int reserve, long windowMillis) {}

package org.wagtailcart.bench;

/**
 * Metrics of one simulation run, over requests that arrive after the warm-up.
 *
 * @param goodput good responses per second
 * @param offered arriving requests per second
 * @param roleChanges role changes in the whole run
 * @param refusals refused requests
 * @param failures requests that ended without a complete response after an attempt
 * @param batchCompletion share of batch requests that complete within their deadline
 * @param interactiveGood share of interactive engine requests that are good
 * @param retryAmplification attempts per request with at least one attempt
 * @param overPower share of the time above the power limit, without the time to adapt to a change of it
 * @param firstTokenP95Millis 95th percentile of the time to first token, without batch requests
 */
record Result(
        Scenario scenario,
        Deployment deployment,
        Contender contender,
        long seed,
        double goodput,
        double offered,
        int roleChanges,
        int refusals,
        int failures,
        double batchCompletion,
        double interactiveGood,
        double retryAmplification,
        double overPower,
        long firstTokenP95Millis) {}

package org.wagtailcart.bench;

/**
 * Figures of one run, over requests that arrive after the warm-up.
 *
 * @param goodput good answers per second
 * @param offered requests per second
 * @param roleChanges role changes in the whole run
 * @param refusals refused requests
 * @param failures requests that ended without a whole answer after an attempt
 * @param batchCompletion share of batch requests complete within their deadline
 * @param interactiveGood share of interactive engine requests that are good
 * @param retryAmplification attempts per request that got one
 * @param overPower share of the time above the hidden limit after learning
 * @param firstTokenP95Millis 95th percentile of the time to the first token, without batch
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

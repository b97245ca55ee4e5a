package org.wagtailcart.policy.placement;

/**
 * Bound on the wait for an upstream, after which a request is started elsewhere. A prefill that is abandoned is wasted,
 * so the bound also covers work that other gateways sent unnoticed, and is never shorter than a new start is long:
 * waiting that long at most doubles the loss if the engine has failed. Stateless.
 */
public final class OverdueBound {
    /** Multiple of the estimated time; twice the estimate cancelled 9 sound prompts on a quiet day. */
    static final double FACTOR = 3;

    /** Time added for delays that the estimate does not cover. */
    static final double SLACK_MILLIS = 700;

    /**
     * Limit on the growth of the queue that extends the bound. The queue of an engine that has stopped responding
     * grows too, and its requests must be moved within their deadlines.
     */
    static final double MAX_QUEUE_GROWTH_MILLIS = 1_500;

    private OverdueBound() {}

    /** Returns the time after which a request without a prefill is overdue. */
    public static long millis(double usualMillis) {
        return Math.round(FACTOR * usualMillis + SLACK_MILLIS);
    }

    /**
     * Returns the time after which a prefill is overdue.
     *
     * @param prefillTokens tokens that the engine has to prefill
     * @param queueAtSendTokens tokens queued before it, known when it was sent
     * @param queueNowTokens tokens queued besides its own now; more than before shows work that was not known then
     * @param restartTokens tokens that another engine would have to prefill
     * @param tokensPerMilli prompt tokens that the engine prefills in a millisecond
     */
    public static long prefillMillis(
            long prefillTokens,
            long queueAtSendTokens,
            long queueNowTokens,
            long restartTokens,
            double tokensPerMilli) {
        double estimateMillis = (prefillTokens + queueAtSendTokens) / tokensPerMilli;
        double growthMillis = Math.max(0, queueNowTokens - queueAtSendTokens) / tokensPerMilli;
        double restartMillis = restartTokens / FleetRates.DEFAULT_TOKENS_PER_MILLI;
        return millis(estimateMillis) + Math.round(Math.min(MAX_QUEUE_GROWTH_MILLIS, growthMillis) + restartMillis);
    }
}

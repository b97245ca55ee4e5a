package org.wagtailcart.policy.share;

/** Cost of requests in the currency of shares: estimated engine time in milliseconds, or 1 for a plain call. */
public final class RequestCost {
    /** Cost of a plain call, whose duration is not known in advance. */
    public static final double PLAIN_CALL = 1;

    /** Time of a decode step, which yields one token for each running stream; streams of healthy engines take 4 ms. */
    private static final double DECODE_STEP_MILLIS = 4;

    private RequestCost() {}

    /**
     * Returns the cost of a streamed request.
     *
     * @param prefillTokens prompt tokens that are not cached
     * @param prefillTokensPerMilli prefill rate of the engine
     * @param outputTokens maximum number of output tokens
     * @param slots streams that an engine decodes at once
     */
    public static double ofStream(int prefillTokens, double prefillTokensPerMilli, int outputTokens, int slots) {
        return prefillTokens / prefillTokensPerMilli + DECODE_STEP_MILLIS * outputTokens / Math.max(1, slots);
    }
}

package org.wagtailcart.policy.share;

/**
 * A request that is about to be sent, as the limits on workspaces see it.
 *
 * @param service service that it is for
 * @param workspace workspace of its caller
 * @param cost its cost, see {@link RequestCost}
 * @param endangered whether it would wait behind other requests for so long that it may miss its target
 * @param late whether its estimated wait exceeds its target
 */
public record ShareRequest(String service, String workspace, double cost, boolean endangered, boolean late) {
    /** Part of the time to the target that an estimate may take without endangering it, as for deadlines. */
    private static final double SAFE_TIME_FRACTION = 0.9;

    /**
     * Returns a request with the given estimate.
     *
     * @param waitMillis part of the estimate that it waits behind other requests, 0 if a place is free
     * @param estimateMillis estimated time to its first token or response
     * @param targetMillis time left until it is no longer on time
     */
    public static ShareRequest of(
            String service,
            String workspace,
            double cost,
            double waitMillis,
            double estimateMillis,
            long targetMillis) {
        boolean waits = waitMillis > 0;
        return new ShareRequest(
                service,
                workspace,
                cost,
                waits && estimateMillis > SAFE_TIME_FRACTION * targetMillis,
                waits && estimateMillis > targetMillis);
    }
}

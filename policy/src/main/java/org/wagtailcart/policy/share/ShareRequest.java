package org.wagtailcart.policy.share;

/**
 * A request that is about to be sent, as the limits on workspaces see it.
 *
 * @param service service that it is for
 * @param workspace workspace of its caller, empty for none
 * @param cost its cost, see {@link RequestCost}
 * @param endangered whether it would wait behind other requests for so long that it, or a request of another kind behind
 *     it, may miss its target
 * @param pressure how far the wait exceeds what is harmless, from 0 to 1 when it is twice as long
 * @param late whether its estimated wait exceeds its target
 * @param waits whether it would wait behind other requests at all
 */
public record ShareRequest(
        String service,
        String workspace,
        double cost,
        boolean endangered,
        double pressure,
        boolean late,
        boolean waits) {
    /** Part of the time to the target that an estimate may take without endangering it, as for deadlines. */
    private static final double SAFE_TIME_FRACTION = 0.9;

    /**
     * Part of the shortest target of the service that a wait may take. Requests with a long target otherwise fill the
     * queue so far that all those with a short one are late; the other half is left for their own prefill.
     */
    private static final double SAFE_WAIT_FRACTION = 0.5;

    /**
     * Estimated time of a request.
     *
     * @param waitMillis part of it that the request waits behind other requests, 0 if a place is free
     * @param totalMillis time to its first token or response
     */
    public record Estimate(double waitMillis, double totalMillis) {}

    /** Returns whether its caller has a workspace; a request without one is neither measured nor limited. */
    public boolean hasWorkspace() {
        return !workspace.isEmpty();
    }

    /**
     * Returns a request with the given estimate.
     *
     * @param remainingMillis time left until it is no longer on time
     * @param shortestTargetMillis shortest target of all requests of the service
     */
    public static ShareRequest of(
            String service,
            String workspace,
            double cost,
            Estimate estimate,
            long remainingMillis,
            long shortestTargetMillis) {
        boolean waits = estimate.waitMillis() > 0;
        double safeWaitMillis = SAFE_WAIT_FRACTION * shortestTargetMillis;
        boolean endangered =
                estimate.totalMillis() > SAFE_TIME_FRACTION * remainingMillis || estimate.waitMillis() > safeWaitMillis;
        double pressure = Math.max(0, Math.min(1, estimate.waitMillis() / safeWaitMillis - 1));
        return new ShareRequest(
                service,
                workspace,
                cost,
                waits && endangered,
                pressure,
                waits && estimate.totalMillis() > remainingMillis,
                waits);
    }
}

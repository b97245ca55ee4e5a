package org.wagtailcart.policy.capacity;

import java.util.OptionalDouble;

/**
 * Estimates the slots that the requests for one service ask for. Requests at upstreams count as they are; refused ones
 * are converted by the slots that the admitted ones of the last seconds occupied. Not thread safe.
 */
public final class SlotDemand {
    /** Time constant of the conversion, long against the time of a request and short against a change of the load. */
    private static final double MEMORY_MILLIS = 10_000;

    /**
     * What gateways report about a service.
     *
     * @param gateways gateways that report
     * @param requests requests at upstreams, queued ones included
     * @param runningSlots slots that requests occupy
     * @param admittedCostPerSecond cost of the requests that were sent to upstreams
     * @param refusedCostPerSecond cost of the requests that were refused
     */
    public record Load(
            int gateways, int requests, int runningSlots, double admittedCostPerSecond, double refusedCostPerSecond) {}

    private int gateways;
    private long observedAtMillis;
    private double slots;
    private double costPerSecond;

    /**
     * Returns the demand, empty if it is unknown: without a report, when fewer gateways report than before, because
     * the rest may have lost contact and still serve, and while refused requests cannot be converted.
     */
    public OptionalDouble observe(Load load, long nowMillis) {
        boolean incomplete = load.gateways() < Math.max(1, gateways);
        gateways = load.gateways();
        double kept = Math.exp((observedAtMillis - nowMillis) / MEMORY_MILLIS);
        observedAtMillis = nowMillis;
        slots = kept * slots + (1 - kept) * load.runningSlots();
        costPerSecond = kept * costPerSecond + (1 - kept) * load.admittedCostPerSecond();
        if (incomplete || (load.refusedCostPerSecond() > 0 && costPerSecond <= 0)) {
            return OptionalDouble.empty();
        }
        double refusedSlots =
                load.refusedCostPerSecond() <= 0 ? 0 : load.refusedCostPerSecond() * slots / costPerSecond;
        return OptionalDouble.of(load.requests() + refusedSlots);
    }
}

package org.wagtailcart.policy.share;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Derives the shares of workspaces from their reported demand. A service is contended while requests are refused or
 * wait beyond their targets. Its capacity is the cost that its upstreams accept during that time, raised while nearly
 * all requests are in time and lowered while many are late. Not thread safe.
 */
public final class ShareCalculator {
    /** Shortest time between two observations; reports arrive every 250 ms from each gateway. */
    static final long MIN_INTERVAL_MILLIS = 100;

    /** Part of the demand that must be refused or late for a service to be contended. */
    static final double CONTENDED_FRACTION = 0.05;

    /**
     * Time for which a service stays contended after the last sign. It covers the gap between two windows of a meter
     * and is shorter than the validity of shares.
     */
    static final long CONTENDED_MILLIS = 1_000;

    /**
     * Time for which a service is observed before it can be contended, as long as the window of a meter. Shares derived
     * from the first requests after a start would be arbitrary.
     */
    static final long WARM_UP_MILLIS = DemandMeter.WINDOW_MILLIS;

    /**
     * Time constant of the demand. In one second a small workspace sends at most a few requests of very different cost;
     * over this time equal workspaces look equal, and a burst of 3 to 14 s is still seen while it lasts.
     */
    static final double DEMAND_MILLIS = 5_000;

    /** Time constant of the capacity, which changes when engines crash or return. */
    static final double CAPACITY_MILLIS = 2_000;

    /**
     * Capacity relative to the admitted cost when no request is late. Without a margin, shares computed from a low
     * estimate would keep the admitted cost, and with it the estimate, low.
     */
    static final double PROBE_FACTOR = 1.05;

    /** Reduction of the capacity when all requests are late; with the probe, it settles where a tenth is late. */
    static final double LATE_REDUCTION = 0.5;

    /** Demand below which a workspace is forgotten, in cost for each second; a plain call costs 1. */
    private static final double NEGLIGIBLE_COST = 0.001;

    /** Limit on the workspaces in a reply; those that exceed their share the most come first. */
    static final int MAX_SHARES = 500;

    private final Map<String, ServiceState> services = new HashMap<>();
    private Map<String, Integer> weights = Map.of();
    private long observedAtMillis = Long.MIN_VALUE / 4;
    private long startMillis = Long.MAX_VALUE / 4;

    /** Smoothed state of one service. */
    private static final class ServiceState {
        private final Map<String, Double> askedByWorkspace = new HashMap<>();
        private final long firstObservedMillis;
        private double capacity;
        private long contendedSinceMillis;
        private long contendedUntilMillis = Long.MIN_VALUE / 4;

        ServiceState(long nowMillis) {
            firstObservedMillis = nowMillis;
        }

        void observe(Map<String, Double> asked, WorkspaceDemand total, long elapsedMillis, long nowMillis) {
            // At first only some gateways have reported.
            long ageMillis = nowMillis - firstObservedMillis - WARM_UP_MILLIS;
            double weight = ageMillis <= 0 ? 1 : weight(elapsedMillis, DEMAND_MILLIS, ageMillis);
            asked.keySet().forEach(workspace -> askedByWorkspace.putIfAbsent(workspace, 0.0));
            askedByWorkspace.replaceAll(
                    (workspace, before) -> before + weight * (asked.getOrDefault(workspace, 0.0) - before));
            askedByWorkspace.values().removeIf(cost -> cost < NEGLIGIBLE_COST);
            boolean wasContended = contended(nowMillis);
            double troubled = total.askedCostPerSecond() - total.admittedCostPerSecond() + total.lateCostPerSecond();
            if (ageMillis >= 0
                    && total.refusedPerSecond() + total.lateCostPerSecond() > 0
                    && troubled >= CONTENDED_FRACTION * total.askedCostPerSecond()) {
                contendedUntilMillis = nowMillis + CONTENDED_MILLIS;
            }
            if (!contended(nowMillis)) {
                return;
            }
            contendedSinceMillis = wasContended ? contendedSinceMillis : nowMillis;
            double capacityWeight =
                    wasContended ? weight(elapsedMillis, CAPACITY_MILLIS, nowMillis - contendedSinceMillis) : 1;
            capacity += capacityWeight * (usableCost(total) - capacity);
        }

        private static double usableCost(WorkspaceDemand total) {
            double admitted = total.admittedCostPerSecond();
            double lateFraction = admitted <= 0 ? 0 : Math.min(1, total.lateCostPerSecond() / admitted);
            return admitted * (PROBE_FACTOR - LATE_REDUCTION * lateFraction);
        }

        /** Returns the weight of an observation; at first all observations so far weigh the same. */
        private static double weight(long elapsedMillis, double constantMillis, long ageMillis) {
            double smoothed = 1 - Math.exp(-elapsedMillis / constantMillis);
            return Math.min(1, Math.max(smoothed, elapsedMillis / (double) (ageMillis + elapsedMillis)));
        }

        boolean contended(long nowMillis) {
            return nowMillis < contendedUntilMillis;
        }

        List<FairShare.Claim> claims(Map<String, Integer> weights) {
            return askedByWorkspace.entrySet().stream()
                    .map(entry -> new FairShare.Claim(
                            entry.getKey(), entry.getValue(), weights.getOrDefault(entry.getKey(), 1)))
                    .toList();
        }
    }

    /** Replaces the weights of workspaces; one without an entry has weight 1. */
    public void weights(Map<String, Integer> weightByWorkspace) {
        weights = weightByWorkspace;
    }

    /**
     * Observes the demand that all known gateways report at present. After a gap, as in a member that leads again after
     * a time, it starts anew.
     */
    public void observe(Collection<WorkspaceDemand> demand, long nowMillis) {
        long elapsedMillis = nowMillis - observedAtMillis;
        if (elapsedMillis > WARM_UP_MILLIS) {
            services.clear();
            startMillis = nowMillis;
        }
        observedAtMillis = nowMillis;
        Map<String, List<WorkspaceDemand>> byService =
                demand.stream().collect(Collectors.groupingBy(WorkspaceDemand::service));
        byService.keySet().forEach(service -> services.computeIfAbsent(service, name -> new ServiceState(nowMillis)));
        services.forEach((service, state) -> {
            List<WorkspaceDemand> ofService = byService.getOrDefault(service, List.of());
            Map<String, Double> asked = ofService.stream()
                    .collect(Collectors.toMap(
                            WorkspaceDemand::workspace, WorkspaceDemand::askedCostPerSecond, Double::sum));
            state.observe(asked, total(service, ofService), elapsedMillis, nowMillis);
        });
        services.values().removeIf(state -> state.askedByWorkspace.isEmpty() && !state.contended(nowMillis));
    }

    private static WorkspaceDemand total(String service, List<WorkspaceDemand> demand) {
        return demand.stream()
                .reduce(
                        new WorkspaceDemand(service, "", 0, 0, 0, 0),
                        (sum, one) -> new WorkspaceDemand(
                                service,
                                "",
                                sum.askedCostPerSecond() + one.askedCostPerSecond(),
                                sum.admittedCostPerSecond() + one.admittedCostPerSecond(),
                                sum.refusedPerSecond() + one.refusedPerSecond(),
                                sum.lateCostPerSecond() + one.lateCostPerSecond()));
    }

    /** Returns whether enough time has passed since the last observation for another one. */
    public boolean observationDue(long nowMillis) {
        return nowMillis - observedAtMillis >= MIN_INTERVAL_MILLIS;
    }

    /** Returns whether it has observed the demand for long enough to know the shares. */
    public boolean warmedUp(long nowMillis) {
        return nowMillis - startMillis >= WARM_UP_MILLIS;
    }

    /** Returns the contended services with their capacity. */
    public List<ServiceCapacity> contended(long nowMillis) {
        return services.entrySet().stream()
                .filter(entry -> entry.getValue().contended(nowMillis))
                .map(entry -> new ServiceCapacity(entry.getKey(), entry.getValue().capacity))
                .toList();
    }

    /** Returns the workspaces of contended services that ask for more than their share. */
    public List<WorkspaceShare> shares(long nowMillis) {
        return contended(nowMillis).stream()
                .flatMap(service -> shares(service).stream())
                .sorted(Comparator.comparing(WorkspaceShare::admitFraction))
                .limit(MAX_SHARES)
                .toList();
    }

    /** Returns the workspaces that ask for more than their share of a service whose capacity is known. */
    public List<WorkspaceShare> shares(ServiceCapacity service) {
        List<FairShare.Claim> claims = Optional.ofNullable(services.get(service.service()))
                .map(state -> state.claims(weights))
                .orElse(List.of());
        return FairShare.admitFractions(service.costPerSecond(), claims).entrySet().stream()
                .map(entry -> new WorkspaceShare(service.service(), entry.getKey(), entry.getValue()))
                .toList();
    }
}

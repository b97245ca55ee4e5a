package org.wagtailcart.policy.share;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Account of the requests of workspaces with a quota at all gateways, from which each gateway gets its part of the
 * quotas. The parts add up to the quota, apart from the least part of a gateway whose callers ask for less than their
 * quota. Not thread safe.
 */
public final class QuotaAccount {
    /** Service of entries of demand and shares that refer to a quota: the requests to all services together. */
    public static final String SERVICE = "";

    /**
     * Time constant with which the demand at a gateway falls. A gateway sees a request of a small workspace every few
     * seconds, and the parts should not follow each of them.
     */
    private static final double DEMAND_MILLIS = 2_000;

    /** Demand below which a gateway is forgotten. */
    private static final double NEGLIGIBLE_PER_SECOND = 0.01;

    /** Least part of a gateway while the quota is not exhausted; a gateway cannot admit less than a whole request. */
    private static final double LEAST_PER_SECOND = 1;

    /** Limit on the entries in a reply; those that ask for the largest part of their quota come first. */
    static final int MAX_PARTS = 500;

    private Map<String, Double> quotas = Map.of();
    private final Map<String, Map<String, Demand>> demandByWorkspace = new HashMap<>();

    /**
     * Demand at one gateway.
     *
     * @param latest requests per second in its latest report
     * @param peak the same, raised at once and lowered slowly
     */
    private record Demand(double latest, double peak, long atMillis) {
        Demand next(double perSecond, long nowMillis) {
            double decayed = peak * Math.exp((atMillis - nowMillis) / DEMAND_MILLIS);
            return new Demand(perSecond, Math.max(perSecond, decayed), nowMillis);
        }
    }

    /** Replaces the quotas, in requests per second of all gateways. */
    public void quotas(Map<String, Double> perSecondByWorkspace) {
        quotas = perSecondByWorkspace;
        demandByWorkspace.keySet().retainAll(quotas.keySet());
    }

    /** Replaces the demand of a gateway by its latest report, in which other services than all of them are ignored. */
    public void record(String gateway, Collection<WorkspaceDemand> report, long nowMillis) {
        if (quotas.isEmpty()) {
            return;
        }
        Map<String, Double> asked = report.stream()
                .filter(demand -> demand.service().equals(SERVICE) && quotas.containsKey(demand.workspace()))
                .collect(
                        Collectors.toMap(WorkspaceDemand::workspace, WorkspaceDemand::askedCostPerSecond, Double::sum));
        asked.keySet().forEach(workspace -> demandByWorkspace
                .computeIfAbsent(workspace, name -> new HashMap<>())
                .putIfAbsent(gateway, new Demand(0, 0, nowMillis)));
        demandByWorkspace.forEach((workspace, byGateway) -> byGateway.computeIfPresent(
                gateway, (name, before) -> before.next(asked.getOrDefault(workspace, 0.0), nowMillis)));
        demandByWorkspace
                .values()
                .forEach(byGateway -> byGateway.values().removeIf(demand -> demand.peak() < NEGLIGIBLE_PER_SECOND));
        demandByWorkspace.values().removeIf(Map::isEmpty);
    }

    /** Forgets gateways that no longer report. */
    public void retain(Collection<String> gateways) {
        demandByWorkspace.values().forEach(byGateway -> byGateway.keySet().retainAll(gateways));
        demandByWorkspace.values().removeIf(Map::isEmpty);
    }

    /** Returns the parts of a gateway in the quotas of all workspaces that ask for something, as fractions of them. */
    public List<WorkspaceShare> partsOf(String gateway, int gateways) {
        return demandByWorkspace.entrySet().stream()
                .sorted(Comparator.comparing(entry -> -latest(entry.getValue()) / quota(entry.getKey())))
                .limit(MAX_PARTS)
                .map(entry -> new WorkspaceShare(
                        SERVICE, entry.getKey(), fraction(entry.getKey(), entry.getValue(), gateway, gateways)))
                .toList();
    }

    private double fraction(String workspace, Map<String, Demand> byGateway, String gateway, int gateways) {
        Demand own = byGateway.get(gateway);
        double sum = byGateway.values().stream().mapToDouble(Demand::peak).sum();
        return fraction(quota(workspace), own == null ? 0 : own.peak(), sum, latest(byGateway), gateways);
    }

    private double quota(String workspace) {
        return quotas.getOrDefault(workspace, 0.0);
    }

    private static double latest(Map<String, Demand> byGateway) {
        return byGateway.values().stream().mapToDouble(Demand::latest).sum();
    }

    /**
     * Returns the part of a gateway as a fraction of the quota. While the callers ask for more than the quota, each
     * gateway gets the same fraction of what is asked of it. Of a rest, half is divided equally, so that each gateway can
     * admit new callers, and half by demand, whose random variation it covers.
     *
     * @param own requests per second at the gateway
     * @param sum requests per second at all gateways, as above
     * @param total requests per second at all gateways at present
     * @param gateways number of gateways
     */
    static double fraction(double quota, double own, double sum, double total, int gateways) {
        double equally = 1.0 / Math.max(1, gateways);
        double ofDemand = sum <= 0 ? equally : own / sum;
        double rest = Math.max(0, quota - sum);
        double perSecond = ofDemand * Math.min(quota, sum) + rest * (equally + ofDemand) / 2;
        double least = total <= quota ? Math.min(LEAST_PER_SECOND, quota) : 0;
        return Math.max(perSecond, least) / quota;
    }
}

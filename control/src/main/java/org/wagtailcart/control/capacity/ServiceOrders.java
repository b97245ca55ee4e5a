package org.wagtailcart.control.capacity;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.wagtailcart.control.watch.ReportedLoad;
import org.wagtailcart.directory.ListedUpstream;
import org.wagtailcart.policy.capacity.CapacityObservation;
import org.wagtailcart.policy.capacity.DomainOrders;
import org.wagtailcart.policy.capacity.DomainReplicas;
import org.wagtailcart.policy.capacity.ReplicaCountPlanner;
import org.wagtailcart.policy.capacity.ReplicaLimits;
import org.wagtailcart.policy.capacity.ReplicaOrder;
import org.wagtailcart.policy.capacity.SlotDemand;
import org.wagtailcart.policy.share.WorkspaceDemand;

/**
 * Plan and orders of one service, derived from the host list and from what gateways report. A failure domain is
 * remembered when its last replica is lost. Not thread safe.
 */
final class ServiceOrders {
    /** Longest time between two plans in which the demand counts as observed. */
    private static final long MAX_GAP_MILLIS = 5_000;

    /** An order that is due in a failure domain. */
    record DueOrder(String domain, ReplicaOrder order) {}

    private ReplicaLimits limits;
    private ReplicaCountPlanner planner;
    private final SlotDemand demand = new SlotDemand();
    private final Map<String, DomainOrders> ordersByDomain = new TreeMap<>();
    private OptionalDouble demandSlots = OptionalDouble.empty();
    private Map<String, Integer> planned = Map.of();
    private Map<String, List<ListedUpstream>> servingByDomain = Map.of();
    private int slotsPerReplica;
    private long plannedAtMillis = Long.MIN_VALUE / 4;

    ServiceOrders(ReplicaLimits limits) {
        this.limits = limits;
        this.planner = new ReplicaCountPlanner(limits.keepingOneReplica());
    }

    /** Replaces the limits. Calls that are under way or may still be carried out are kept. */
    void limits(ReplicaLimits newLimits) {
        if (!newLimits.equals(limits)) {
            limits = newLimits;
            planner = new ReplicaCountPlanner(newLimits.keepingOneReplica());
            ordersByDomain.values().forEach(orders -> orders.limits(newLimits));
        }
    }

    /** Plans the numbers from the upstreams of the service and returns the orders that are due. */
    List<DueOrder> plan(String service, List<ListedUpstream> upstreams, ReportedLoad load, long nowMillis) {
        servingByDomain = upstreams.stream()
                .filter(upstream -> !upstream.leaving())
                .collect(Collectors.groupingBy(ListedUpstream::failureDomain));
        upstreams.forEach(
                upstream -> ordersByDomain.computeIfAbsent(upstream.failureDomain(), name -> new DomainOrders(limits)));
        slotsPerReplica =
                upstreams.stream().mapToInt(ListedUpstream::maxInFlight).min().orElse(slotsPerReplica);
        OptionalDouble observed = demand.observe(slotLoad(service, upstreams, load), nowMillis);
        // The planner takes the time between two known demands for observed.
        demandSlots = nowMillis - plannedAtMillis > MAX_GAP_MILLIS ? OptionalDouble.empty() : observed;
        plannedAtMillis = nowMillis;
        List<DomainReplicas> domains = ordersByDomain.keySet().stream()
                .map(domain -> replicas(domain, load, nowMillis))
                .toList();
        planned = planner.plan(new CapacityObservation(nowMillis, demandSlots, slotsPerReplica, domains));
        return planned.entrySet().stream()
                .flatMap(entry -> orders(entry.getKey())
                        .due(entry.getValue(), listed(entry.getKey()), nowMillis)
                        .map(order -> new DueOrder(entry.getKey(), order))
                        .stream())
                .toList();
    }

    /** Returns the orders of a domain. */
    DomainOrders orders(String domain) {
        return ordersByDomain.computeIfAbsent(domain, name -> new DomainOrders(limits));
    }

    private static SlotDemand.Load slotLoad(String service, List<ListedUpstream> upstreams, ReportedLoad load) {
        List<WorkspaceDemand> ofService = load.demand().stream()
                .filter(one -> one.service().equals(service))
                .toList();
        double asked = ofService.stream()
                .mapToDouble(WorkspaceDemand::askedCostPerSecond)
                .sum();
        double admitted = ofService.stream()
                .mapToDouble(WorkspaceDemand::admittedCostPerSecond)
                .sum();
        return new SlotDemand.Load(
                load.gateways(),
                upstreams.stream()
                        .mapToInt(upstream -> requests(upstream, load))
                        .sum(),
                upstreams.stream().mapToInt(upstream -> running(upstream, load)).sum(),
                admitted,
                Math.max(0, asked - admitted));
    }

    private DomainReplicas replicas(String domain, ReportedLoad load, long nowMillis) {
        List<ListedUpstream> serving = servingByDomain.getOrDefault(domain, List.of());
        DomainOrders orders = orders(domain);
        return new DomainReplicas(
                domain,
                orders.serving(serving.size(), nowMillis),
                orders.booting(serving.size(), nowMillis),
                (int) serving.stream()
                        .filter(upstream -> requests(upstream, load) == 0)
                        .count(),
                serving.stream().mapToInt(upstream -> running(upstream, load)).sum());
    }

    private static int requests(ListedUpstream upstream, ReportedLoad load) {
        return load.requestsByUpstream().getOrDefault(upstream.instanceId(), 0);
    }

    private static int running(ListedUpstream upstream, ReportedLoad load) {
        return Math.min(upstream.maxInFlight(), requests(upstream, load));
    }

    private int listed(String domain) {
        return servingByDomain.getOrDefault(domain, List.of()).size();
    }

    CapacityController.ServiceDump dump(String service, long nowMillis) {
        return new CapacityController.ServiceDump(
                service,
                limits,
                demandSlots.orElse(-1),
                slotsPerReplica,
                ordersByDomain.entrySet().stream()
                        .map(entry -> new CapacityController.DomainDump(
                                entry.getKey(),
                                listed(entry.getKey()),
                                entry.getValue().booting(listed(entry.getKey()), nowMillis),
                                planned.getOrDefault(entry.getKey(), -1),
                                entry.getValue().ordered().orElse(-1),
                                entry.getValue().overdue(listed(entry.getKey()), nowMillis)))
                        .toList());
    }
}

package org.wagtailcart.policy.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Chooses the replica of a plain service with the lowest expected latency. Stateless. */
public final class ReplicaPlacement {
    /** Time by which a replica in another failure domain must be faster to be chosen. */
    static final double CROSS_DOMAIN_PENALTY_MILLIS = 4;

    private ReplicaPlacement() {}

    /**
     * Returns the replica with the lowest expected latency for a gateway in {@code ownDomain}, or empty for none. A
     * replica in a slow phase is chosen only if no other one has a free slot.
     */
    public static Optional<ReplicaCandidate> choose(List<ReplicaCandidate> replicas, String ownDomain) {
        List<ReplicaCandidate> preferred = replicas.stream()
                .filter(replica -> !replica.slow() && replica.hasFreeSlot())
                .toList();
        return (preferred.isEmpty() ? replicas : preferred)
                .stream()
                        .min(Comparator.comparing((ReplicaCandidate replica) -> expectedMillis(replica, ownDomain))
                                .thenComparing(ReplicaCandidate::inFlight)
                                .thenComparing(ReplicaCandidate::id));
    }

    private static double expectedMillis(ReplicaCandidate replica, String ownDomain) {
        double queueing = Math.max(0, replica.inFlight() + 1 - replica.slots()) / (double) replica.slots();
        double utilization = (replica.inFlight() + 1) / (double) replica.slots();
        double domainPenaltyMillis = replica.failureDomain().equals(ownDomain) ? 0 : CROSS_DOMAIN_PENALTY_MILLIS;
        return replica.latencyMillis() * (1 + queueing + utilization / 4) + domainPenaltyMillis;
    }
}

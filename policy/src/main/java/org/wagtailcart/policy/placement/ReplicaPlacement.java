package org.wagtailcart.policy.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Chooses the replica of a plain service that should answer first. Pure. */
public final class ReplicaPlacement {
    /** Time by which a replica in another failure domain must be faster. */
    static final double DOMAIN_PREFERENCE_MILLIS = 4;

    private ReplicaPlacement() {}

    /** Returns the best replica for a gateway in a failure domain. */
    public static Optional<ReplicaView> choose(List<ReplicaView> replicas, String ownDomain) {
        return replicas.stream()
                .min(Comparator.comparing((ReplicaView replica) -> expectedMillis(replica, ownDomain))
                        .thenComparing(ReplicaView::requests)
                        .thenComparing(ReplicaView::id));
    }

    private static double expectedMillis(ReplicaView replica, String ownDomain) {
        double waiting = Math.max(0, replica.requests() + 1 - replica.slots()) / (double) replica.slots();
        double busy = (replica.requests() + 1) / (double) replica.slots();
        double distance = replica.failureDomain().equals(ownDomain) ? 0 : DOMAIN_PREFERENCE_MILLIS;
        return replica.latencyMillis() * (1 + waiting + busy / 4) + distance;
    }
}

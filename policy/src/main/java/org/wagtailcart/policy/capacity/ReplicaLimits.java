package org.wagtailcart.policy.capacity;

/**
 * Limits for the replicas of a service in one failure domain.
 *
 * @param min smallest number that may be ordered
 * @param max largest number that may be ordered
 * @param bootMillis time from an order until a new replica serves
 */
public record ReplicaLimits(int min, int max, long bootMillis) {
    /** Returns limits under which one replica remains; without any there is no demand that would ask for more. */
    public ReplicaLimits keepingOneReplica() {
        return new ReplicaLimits(Math.min(max, Math.max(1, min)), max, bootMillis);
    }
}

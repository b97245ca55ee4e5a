package org.wagtailcart.policy.capacity;

/**
 * Order for a number of replicas in one failure domain.
 *
 * @param replicas number to order
 * @param validUntilMillis monotonic time after which the order must be decided anew
 */
public record ReplicaOrder(int replicas, OrderReason reason, long validUntilMillis) {}

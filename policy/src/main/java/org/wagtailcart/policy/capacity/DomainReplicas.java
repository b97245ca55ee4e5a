package org.wagtailcart.policy.capacity;

/**
 * Replicas of a service in one failure domain. Replicas that are leaving count nowhere, because they accept no requests.
 *
 * @param domain name of the failure domain
 * @param serving replicas that accept requests
 * @param booting replicas that do not serve yet
 * @param empty serving replicas without a running request
 * @param runningSlots slots of serving replicas that running requests occupy
 */
public record DomainReplicas(String domain, int serving, int booting, int empty, int runningSlots) {
    /** Returns the replicas that serve or will serve. */
    public int present() {
        return serving + booting;
    }
}

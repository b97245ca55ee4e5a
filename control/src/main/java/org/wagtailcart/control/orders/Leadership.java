package org.wagtailcart.control.orders;

import java.util.concurrent.CompletableFuture;

/** Leadership and order lease of the control member that uses it. */
public interface Leadership {
    /** Returns whether this member considers itself the leader. */
    boolean isLeader();

    /** Confirms with a quorum that this member is the leader. */
    CompletableFuture<Long> confirmLeadership();

    /** Returns the order lease of the replicated state. */
    OrderLease orderLease();

    /** Acquires the order lease for this member. */
    CompletableFuture<OrderLease> acquireOrderLease(String holder);
}

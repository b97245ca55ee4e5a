package org.wagtailcart.coordination;

import java.util.concurrent.CompletableFuture;

/** Log of commands replicated to a quorum of members. Methods are thread-safe and do not block. */
public interface ReplicatedLog extends AutoCloseable {
    /**
     * Proposes a command. The future completes with the result of the state machine once the command is committed and
     * applied here. It fails with a {@code WagtailcartException}: NOT_LEADER (not run), NO_QUORUM or LEADERSHIP_LOST
     * (may have run). Completion runs on the control thread; dependents must not block.
     */
    CompletableFuture<Object> propose(byte[] command);

    /**
     * Confirms with a quorum that this member is the leader (read index). Completes with the commit index once the
     * state machine has applied it, so that a read of the state after completion is linearizable.
     */
    CompletableFuture<Long> confirmLeadership();

    /** Proposes a membership change; completes with the new membership once the change is committed. */
    CompletableFuture<Membership> changeMembership(MembershipChange change);

    /** Transfers leadership to another voter; completes at once on a follower and on an only voter. */
    CompletableFuture<Void> transferLeadership();

    /** Returns the current status of this member. */
    RaftStatus status();

    /** Runs a read-only task on the control thread, between two applied commands. */
    <T> CompletableFuture<T> read(java.util.function.Supplier<T> task);

    /** Stops the member; pending calls fail. */
    @Override
    void close();
}

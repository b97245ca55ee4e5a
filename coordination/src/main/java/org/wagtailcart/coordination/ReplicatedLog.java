package org.wagtailcart.coordination;

import java.util.concurrent.CompletableFuture;

/** Log of commands that a quorum of members has stored. Methods may be called by any thread and do not block. */
public interface ReplicatedLog extends AutoCloseable {
    /**
     * Proposes a command. The future completes with the result of the state machine once the command is committed and
     * applied here. It fails with a {@code WagtailcartException}: NOT_LEADER (not run), NO_QUORUM or LEADERSHIP_LOST (may
     * have run). Completion runs on the control thread; dependents must not block.
     */
    CompletableFuture<Object> propose(byte[] command);

    /**
     * Confirms with a quorum that this member is the leader; completes with the committed index once the state machine
     * has applied it, so that a read of the state after completion is linearizable.
     */
    CompletableFuture<Long> confirmLeadership();

    /** Starts one membership change; completes when it is committed. */
    CompletableFuture<Membership> changeMembership(MembershipChange change);

    /** Hands leadership to another voter if this member is the leader. */
    CompletableFuture<Void> transferLeadership();

    /** Returns what this member knows now. */
    RaftStatus status();

    /** Runs a read-only task on the control thread, between two applied commands. */
    <T> CompletableFuture<T> read(java.util.function.Supplier<T> task);

    /** Stops the member; pending proposals fail. */
    @Override
    void close();
}

package org.wagtailcart.control.http;

import java.util.concurrent.CompletableFuture;
import org.wagtailcart.control.PublishedState;
import org.wagtailcart.control.client.ProcessesReply;
import org.wagtailcart.coordination.Membership;
import org.wagtailcart.coordination.MembershipChange;
import org.wagtailcart.coordination.RaftStatus;

/** Control member behind the operator interface. Methods may be called by any thread and do not block. */
public interface OperatorBackend {
    /** Returns the replicated state as applied by this member. */
    PublishedState state();

    /** Returns the status of the replicated log at this member. */
    RaftStatus status();

    /** Returns the time since a leader with a quorum confirmed this member. */
    long confirmationAgeMillis();

    /** Returns the time without confirmation after which processes refuse new work. */
    long leaseMillis();

    /** Submits a command to the leader and returns its result. */
    <T> CompletableFuture<T> submit(Record command, Class<T> resultType);

    /** Returns the processes tracked by the leader. */
    CompletableFuture<ProcessesReply> processes();

    /** Changes the membership; fails with {@code NOT_LEADER} on any member except the leader. */
    CompletableFuture<Membership> changeMembers(MembershipChange change);

    /** Returns a dump of the member's state for operators. */
    Record dump();
}

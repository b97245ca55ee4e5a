package org.wagtailcart.control.http;

import java.util.concurrent.CompletableFuture;
import org.wagtailcart.control.PublishedState;
import org.wagtailcart.control.client.ProcessesReply;
import org.wagtailcart.coordination.Membership;
import org.wagtailcart.coordination.MembershipChange;
import org.wagtailcart.coordination.RaftStatus;

/** What the operator interface needs from a control member. Methods may be called by any thread and do not block. */
public interface OperatorBackend {
    /** Returns the state of this member. */
    PublishedState state();

    /** Returns what this member knows of the log. */
    RaftStatus status();

    /** Returns the time since this member was confirmed. */
    long confirmationAgeMillis();

    /** Returns the time without confirmation after which processes refuse new work. */
    long leaseMillis();

    /** Submits a command to the leader. */
    <T> CompletableFuture<T> submit(Record command, Class<T> resultType);

    /** Returns the processes that the leader knows. */
    CompletableFuture<ProcessesReply> processes();

    /** Changes the membership; fails with NOT_LEADER on another member than the leader. */
    CompletableFuture<Membership> changeMembers(MembershipChange change);

    /** Returns the whole state for an operator. */
    Record dump();
}

package org.wagtailcart.control.http;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.coordination.Member;
import org.wagtailcart.coordination.Membership;
import org.wagtailcart.coordination.MembershipChange;
import org.wagtailcart.coordination.RaftStatus;
import org.wagtailcart.coordination.ReplicatedLog;

/** Replicated log of a follower. It shows the state of a local log and rejects proposals with NOT_LEADER. */
record FollowerLog(ReplicatedLog local, Member self, Member leader) implements ReplicatedLog {
    private static <T> CompletableFuture<T> notLeader() {
        return CompletableFuture.failedFuture(new WagtailcartException(ResultCode.NOT_LEADER, "follower"));
    }

    @Override
    public CompletableFuture<Object> propose(byte[] command) {
        return notLeader();
    }

    @Override
    public CompletableFuture<Long> confirmLeadership() {
        return notLeader();
    }

    @Override
    public CompletableFuture<Membership> changeMembership(MembershipChange change) {
        return notLeader();
    }

    @Override
    public CompletableFuture<Void> transferLeadership() {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public RaftStatus status() {
        RaftStatus status = local.status();
        return new RaftStatus(
                self,
                RaftStatus.Role.FOLLOWER,
                1,
                Optional.of(leader),
                status.commitIndex(),
                status.appliedIndex(),
                0,
                status.confirmedAtMillis(),
                new Membership(0, List.of(self, leader)));
    }

    @Override
    public <T> CompletableFuture<T> read(Supplier<T> task) {
        return local.read(task);
    }

    @Override
    public void close() {
        local.close();
    }
}

package org.wagtailcart.coordination;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Supplier;
import org.wagtailcart.common.DaemonThreads;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** In-memory log of a single member, for use in tests. Its contents are lost when the process ends. */
public final class SingleMemberLog implements ReplicatedLog {
    private final Member self;
    private final StateMachine stateMachine;
    private final ExecutorService controlThread = Executors.newSingleThreadExecutor(DaemonThreads.named("control"));
    private volatile long index;
    private long timeMillis;

    /** Creates an empty log. */
    public SingleMemberLog(Member self, StateMachine stateMachine) {
        this.self = self;
        this.stateMachine = stateMachine;
    }

    @Override
    public CompletableFuture<Object> propose(byte[] command) {
        return read(() -> {
            timeMillis = Math.max(timeMillis, MillisClock.wall().nowMillis());
            long next = index + 1;
            index = next;
            return stateMachine.apply(next, timeMillis, command);
        });
    }

    @Override
    public CompletableFuture<Long> confirmLeadership() {
        return read(() -> index);
    }

    @Override
    public CompletableFuture<Membership> changeMembership(MembershipChange change) {
        return CompletableFuture.failedFuture(new WagtailcartException(
                ResultCode.MEMBERSHIP_CHANGE_INVALID, "the membership of a single-member log cannot change"));
    }

    @Override
    public CompletableFuture<Void> transferLeadership() {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public RaftStatus status() {
        long nowMillis = MillisClock.monotonic().nowMillis();
        Membership members = new Membership(0, List.of(self));
        return new RaftStatus(self, RaftStatus.Role.LEADER, 1, Optional.of(self), index, index, 0, nowMillis, members);
    }

    @Override
    public <T> CompletableFuture<T> read(Supplier<T> task) {
        return CompletableFuture.supplyAsync(task, controlThread);
    }

    @Override
    public void close() {
        controlThread.shutdown();
    }
}

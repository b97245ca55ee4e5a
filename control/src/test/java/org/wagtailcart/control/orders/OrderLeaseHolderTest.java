package org.wagtailcart.control.orders;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against calls of a new holder while the former one may still make calls. */
class OrderLeaseHolderTest {
    private static final long LEASE_MILLIS = 3_000;
    /** Longest time between the confirmation of a holder and the arrival of its call. */
    private static final long CALL_DELAY_MILLIS = 1_500;

    private long nowMillis = 1_000_000;

    /** Leader whose state shows the given lease until a command of its own is applied. */
    private static final class Leader implements Leadership {
        private OrderLease replicated;
        private OrderLease applied;

        Leader(OrderLease replicated, OrderLease applied) {
            this.replicated = replicated;
            this.applied = applied;
        }

        @Override
        public boolean isLeader() {
            return true;
        }

        @Override
        public CompletableFuture<Long> confirmLeadership() {
            return CompletableFuture.completedFuture(1L);
        }

        @Override
        public OrderLease orderLease() {
            return applied;
        }

        @Override
        public CompletableFuture<OrderLease> acquireOrderLease(String holder) {
            replicated = replicated.grantedTo(holder);
            applied = replicated;
            return CompletableFuture.completedFuture(applied);
        }
    }

    /** Guards against a call of one duty that arrives with a lower token after a call of another duty. */
    @Test
    void aNewTokenIsNotUsedWhileACallWithTheFormerOneMayArrive() {
        Leader leader = new Leader(OrderLease.NONE, OrderLease.NONE);
        OrderLeaseHolder holder = new OrderLeaseHolder("b", leader, LEASE_MILLIS, () -> nowMillis);
        holder.ensure();
        long firstToken = holder.confirm().orElseThrow().fencingToken();
        holder.lose(firstToken);
        holder.ensure();
        nowMillis += CALL_DELAY_MILLIS - 1;
        assertThat(holder.confirm()).isEmpty();
        nowMillis++;
        assertThat(holder.confirm().orElseThrow().fencingToken()).isGreaterThan(firstToken);
    }

    /** Guards against a leader that has not applied the grant to its predecessor and takes itself for the first holder. */
    @ParameterizedTest
    @CsvSource({
        // holder in the replicated state, whether the leader has applied it, time until the first call
        "'', true, 0",
        "b, true, 0",
        "a, true, 4500",
        "a, false, 4500",
    })
    void aNewHolderWaitsForTheCallsOfTheFormerOne(String former, boolean applied, long waitMillis) {
        OrderLease replicated = former.isEmpty() ? OrderLease.NONE : OrderLease.NONE.grantedTo(former);
        OrderLeaseHolder holder = new OrderLeaseHolder(
                "b", new Leader(replicated, applied ? replicated : OrderLease.NONE), LEASE_MILLIS, () -> nowMillis);
        assertThat(holder.checkLeader()).isTrue();
        holder.ensure();
        assertThat(waitMillis).isAnyOf(0L, LEASE_MILLIS + CALL_DELAY_MILLIS);
        if (waitMillis > 0) {
            nowMillis += waitMillis - 1;
            assertThat(holder.mayCall()).isFalse();
            assertThat(holder.confirm()).isEmpty();
            nowMillis++;
        }
        assertThat(holder.mayCall()).isTrue();
        assertThat(holder.confirm()).isPresent();
    }
}

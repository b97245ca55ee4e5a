package org.wagtailcart.control.orders;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.Regions;
import org.wagtailcart.control.client.PrefixCacheUpdate;
import org.wagtailcart.directory.CachedPromptSegment;
import org.wagtailcart.directory.EnginePort;
import org.wagtailcart.directory.EngineReport;
import org.wagtailcart.directory.ListedUpstream;
import org.wagtailcart.directory.OrderOutcome;
import org.wagtailcart.routes.RouteTable;

/** The lease under which a leader gives orders to engines. */
class RoleDutyTest {
    private static final long LEASE_MILLIS = 3_000;

    private final AtomicInteger taken = new AtomicInteger();

    /** A group whose former leader, another member, held the lease. */
    private final class Authority implements RoleDuty.Authority {
        private volatile OrderLease lease = new OrderLease("former", 4, "");

        @Override
        public boolean isLeader() {
            return true;
        }

        @Override
        public CompletableFuture<Long> confirm() {
            return CompletableFuture.completedFuture(0L);
        }

        @Override
        public OrderLease lease() {
            return lease;
        }

        @Override
        public CompletableFuture<OrderLease> takeLease(String holder) {
            taken.incrementAndGet();
            lease = lease.granted(holder);
            return CompletableFuture.completedFuture(lease);
        }
    }

    private static final class Gateways implements RoleDuty.GatewayFeed {
        @Override
        public void list(List<ListedUpstream> upstreams, long readAtMillis) {}

        @Override
        public void publishCachedSegments(PrefixCacheUpdate note) {}
    }

    private static final class NoEngines implements EnginePort {
        @Override
        public EngineReport report(ListedUpstream engine) {
            throw new AssertionError("no engine is listed");
        }

        @Override
        public List<CachedPromptSegment> cachedSegments(ListedUpstream engine) {
            throw new AssertionError("no engine is listed");
        }

        @Override
        public OrderOutcome orderRole(
                ListedUpstream engine, EngineRole role, String holder, long fencingToken, long expectedOrderCount) {
            throw new AssertionError("no engine is listed");
        }
    }

    /** The wait after the former holder must have passed when engines are replaced later. */
    @Test
    void aNewLeaderTakesTheLeaseOnceBeforeAnyOrderIsDue() throws InterruptedException {
        Authority authority = new Authority();
        RoleDuty duty = new RoleDuty(
                "new",
                authority,
                () -> RouteTable.NONE,
                Regions.ONE,
                () -> true,
                new Gateways(),
                List::of,
                new NoEngines(),
                LEASE_MILLIS);
        try (duty) {
            duty.start();
            for (int i = 0; i < 500 && taken.get() == 0; i++) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
            TimeUnit.MILLISECONDS.sleep(1_000);
        }
        assertThat(authority.lease().holder()).isEqualTo("new");
        assertThat(taken.get()).isEqualTo(1);
    }
}

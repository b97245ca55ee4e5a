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
import org.wagtailcart.directory.EngineControlClient;
import org.wagtailcart.directory.ListedUpstream;
import org.wagtailcart.directory.OrderOutcome;
import org.wagtailcart.directory.ReportedEngineState;
import org.wagtailcart.routes.RouteTable;

/** The lease under which a leader gives orders to engines. */
class EngineRoleControllerTest {
    private static final long LEASE_MILLIS = 3_000;

    private final AtomicInteger acquisitions = new AtomicInteger();

    /** A group whose former leader, another member, held the lease. */
    private final class FakeLeadership implements EngineRoleController.Leadership {
        private volatile OrderLease lease = new OrderLease("former", 4, "");

        @Override
        public boolean isLeader() {
            return true;
        }

        @Override
        public CompletableFuture<Long> confirmLeadership() {
            return CompletableFuture.completedFuture(0L);
        }

        @Override
        public OrderLease orderLease() {
            return lease;
        }

        @Override
        public CompletableFuture<OrderLease> acquireOrderLease(String holder) {
            acquisitions.incrementAndGet();
            lease = lease.grantedTo(holder);
            return CompletableFuture.completedFuture(lease);
        }
    }

    private static final class Gateways implements EngineRoleController.GatewayPublisher {
        @Override
        public void publishHostList(List<ListedUpstream> upstreams, long readAtMillis) {}

        @Override
        public void publishCachedSegments(PrefixCacheUpdate note) {}
    }

    private static final class NoEngines implements EngineControlClient {
        @Override
        public ReportedEngineState readState(ListedUpstream engine) {
            throw new AssertionError("no engine is listed");
        }

        @Override
        public List<CachedPromptSegment> cachedSegments(ListedUpstream engine) {
            throw new AssertionError("no engine is listed");
        }

        @Override
        public OrderOutcome changeRole(
                ListedUpstream engine, EngineRole role, String holder, long fencingToken, long expectedOrderCount) {
            throw new AssertionError("no engine is listed");
        }
    }

    /** The wait after the former holder must have passed when engines are replaced later. */
    @Test
    void newLeaderAcquiresTheLeaseOnceBeforeAnyOrderIsDue() throws InterruptedException {
        FakeLeadership authority = new FakeLeadership();
        EngineRoleController duty = new EngineRoleController(
                "new",
                authority,
                () -> RouteTable.EMPTY,
                Regions.SINGLE,
                () -> true,
                new Gateways(),
                List::of,
                new NoEngines(),
                LEASE_MILLIS);
        try (duty) {
            duty.start();
            for (int i = 0; i < 500 && acquisitions.get() == 0; i++) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
            TimeUnit.MILLISECONDS.sleep(1_000);
        }
        assertThat(authority.orderLease().holder()).isEqualTo("new");
        assertThat(acquisitions.get()).isEqualTo(1);
    }
}

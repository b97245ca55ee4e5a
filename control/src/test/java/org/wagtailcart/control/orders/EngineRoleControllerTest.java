package org.wagtailcart.control.orders;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.Regions;
import org.wagtailcart.control.client.PrefixCacheUpdate;
import org.wagtailcart.directory.CachedPromptSegment;
import org.wagtailcart.directory.EngineControlClient;
import org.wagtailcart.directory.ListedUpstream;
import org.wagtailcart.directory.OrderOutcome;
import org.wagtailcart.directory.ReportedEngineState;
import org.wagtailcart.routes.RouteTable;

/** Guards against a leader that acquires the order lease late, or repeatedly. */
class EngineRoleControllerTest {
    private static final long LEASE_MILLIS = 3_000;

    private final AtomicInteger acquisitions = new AtomicInteger();

    /** Leadership of a group in which another member, the former leader, holds the lease. */
    private final class FakeLeadership implements Leadership {
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
        public void publishCachedSegments(PrefixCacheUpdate update) {}
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

    /** The wait for orders of the former holder must be over by the time engines are replaced and orders become due. */
    @Test
    void newLeaderAcquiresTheLeaseOnceBeforeAnyOrderIsDue() throws InterruptedException {
        FakeLeadership leadership = new FakeLeadership();
        EngineRoleController controller = new EngineRoleController(
                "new",
                new OrderLeaseHolder("new", leadership, LEASE_MILLIS, MillisClock.monotonic()),
                () -> RouteTable.EMPTY,
                Regions.SINGLE,
                () -> true,
                List::of,
                new Gateways(),
                List::of,
                new NoEngines(),
                LEASE_MILLIS);
        try (controller) {
            controller.start();
            for (int i = 0; i < 500 && acquisitions.get() == 0; i++) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
            TimeUnit.MILLISECONDS.sleep(1_000);
        }
        assertThat(leadership.orderLease().holder()).isEqualTo("new");
        assertThat(acquisitions.get()).isEqualTo(1);
    }
}

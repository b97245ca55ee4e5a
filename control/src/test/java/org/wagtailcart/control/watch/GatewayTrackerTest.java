package org.wagtailcart.control.watch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.wagtailcart.control.client.OutstandingWork;
import org.wagtailcart.control.client.PrefixCacheUpdate;
import org.wagtailcart.control.client.WatchRequest;
import org.wagtailcart.directory.ListedUpstream;

/**
 * Guards against wrong sums of outstanding work, prefix updates that are lost or delivered twice, unbounded growth of
 * the update log and needless changes of the host list version.
 */
class GatewayTrackerTest {
    private static WatchRequest request(String process, OutstandingWork... work) {
        return new WatchRequest(process, 1, 0, List.of(work), List.of(), 0, 0, null, null);
    }

    private static PrefixCacheUpdate update(int number) {
        return new PrefixCacheUpdate("e" + number, List.of("p" + number), List.of(100));
    }

    @Test
    void theWorkOfTheOtherGatewaysIsSummedForEachUpstream() {
        GatewayTracker tracker = new GatewayTracker();
        tracker.record(request("g1", new OutstandingWork("e1", 2, 1_000)), 0);
        tracker.record(request("g2", new OutstandingWork("e1", 3, 500), new OutstandingWork("e2", 1, 10)), 0);
        tracker.record(request("g3", new OutstandingWork("e1", 9, 9_000)), 0);
        assertThat(tracker.workOfOtherGateways("g3"))
                .containsExactly(new OutstandingWork("e1", 5, 1_500), new OutstandingWork("e2", 1, 10));
    }

    /** Guards against the work of a stopped gateway that keeps requests away from engines. */
    @Test
    void silentGatewayExpires() {
        GatewayTracker tracker = new GatewayTracker();
        tracker.record(request("g1", new OutstandingWork("e1", 2, 1_000)), 0);
        tracker.record(request("g2"), GatewayTracker.RETENTION_MILLIS + 1);
        assertThat(tracker.activeCount(GatewayTracker.RETENTION_MILLIS + 1)).isEqualTo(1);
        assertThat(tracker.workOfOtherGateways("g2")).isEmpty();
    }

    @Test
    void eachGatewayReadsTheUpdatesOfOthersOnce() {
        PrefixUpdateLog log = new PrefixUpdateLog();
        log.add("g1", List.of(update(1), update(2)));
        log.add("g2", List.of(update(3)));
        PrefixUpdateLog.Page first = log.pageAfter(0, "g2");
        assertThat(first.updates()).containsExactly(update(1), update(2)).inOrder();
        log.add("g1", List.of(update(4)));
        PrefixUpdateLog.Page second = log.pageAfter(first.cursor(), "g2");
        assertThat(second.updates()).containsExactly(update(4));
        assertThat(log.pageAfter(second.cursor(), "g2").updates()).isEmpty();
    }

    @Test
    void laggingGatewayReadsInPagesAndTheLogStaysBounded() {
        PrefixUpdateLog log = new PrefixUpdateLog();
        IntStream.range(0, 9_000).forEach(i -> log.add("g1", List.of(update(i))));
        long cursor = 0;
        int read = 0;
        for (PrefixUpdateLog.Page page = log.pageAfter(cursor, "g2");
                !page.updates().isEmpty();
                page = log.pageAfter(cursor, "g2")) {
            cursor = page.cursor();
            read += page.updates().size();
        }
        assertThat(read).isEqualTo(4_000);
    }

    @Test
    void theVersionOfAHostListChangesWithItsContentOnly() {
        HostListCache cache = new HostListCache();
        assertThat(cache.update(List.of(), 1)).isTrue();
        long version = cache.latest().version();
        assertThat(cache.update(List.<ListedUpstream>of(), 2)).isFalse();
        assertThat(cache.latest().version()).isEqualTo(version);
        assertThat(cache.latest().readAtMillis()).isEqualTo(2);
    }
}

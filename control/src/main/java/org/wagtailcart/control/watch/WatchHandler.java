package org.wagtailcart.control.watch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.control.client.PrefixCacheUpdate;
import org.wagtailcart.control.client.WatchReply;
import org.wagtailcart.control.client.WatchRequest;
import org.wagtailcart.coordination.Member;
import org.wagtailcart.coordination.RaftStatus;
import org.wagtailcart.routes.RouteTable;
import org.wagtailcart.wire.Exchange;

/** The gateways that wait for a newer routing table. Safe for use by several threads. */
public final class WatchHandler {
    /** Time for which a question waits; a gateway learns at least this often that its table is still confirmed. */
    static final long LONG_POLL_MILLIS = 250;

    private record PendingWatch(Exchange exchange, WatchRequest request, long deadlineMillis) {}

    private final Supplier<RouteTable> table;
    private final Supplier<RaftStatus> status;
    private final Supplier<Long> confirmationAgeMillis;
    private final HostListCache hostListCache;
    private final MillisClock clock;
    private final GatewayTracker gatewayTracker = new GatewayTracker();
    private final PrefixUpdateLog prefixUpdates = new PrefixUpdateLog();
    private List<PendingWatch> pendingWatches = new ArrayList<>();

    /**
     * Creates it.
     *
     * @param confirmationAgeMillis time since this member was confirmed; read before the table
     */
    public WatchHandler(
            Supplier<RouteTable> table,
            Supplier<RaftStatus> status,
            Supplier<Long> confirmationAgeMillis,
            HostListCache hostListCache,
            MillisClock clock) {
        this.table = table;
        this.status = status;
        this.confirmationAgeMillis = confirmationAgeMillis;
        this.hostListCache = hostListCache;
        this.clock = clock;
    }

    /** Answers a question at once when there is a newer table, otherwise lets it wait. */
    public void handle(Exchange exchange, Object message) {
        WatchRequest request = (WatchRequest) message;
        long nowMillis = clock.nowMillis();
        synchronized (this) {
            gatewayTracker.record(request, nowMillis);
            prefixUpdates.add(request.processId(), request.prefixUpdates());
            if (!hasNewer(request, nowMillis)) {
                pendingWatches.add(new PendingWatch(exchange, request, nowMillis + LONG_POLL_MILLIS));
                return;
            }
        }
        exchange.finish(buildReply(request));
    }

    /** Answers the questions that a newer table or the passing of time makes due. */
    public void replyDue() {
        long nowMillis = clock.nowMillis();
        List<PendingWatch> due = new ArrayList<>();
        synchronized (this) {
            List<PendingWatch> left = new ArrayList<>();
            pendingWatches.forEach(item -> {
                boolean isDue = item.deadlineMillis() <= nowMillis || hasNewer(item.request(), nowMillis);
                (isDue ? due : left).add(item);
            });
            pendingWatches = left;
        }
        due.forEach(item -> item.exchange().finish(buildReply(item.request())));
    }

    private boolean hasNewer(WatchRequest request, long nowMillis) {
        HostListCache.VersionedHostList listing = hostListCache.latest();
        return table.get().version() > request.tableVersion()
                || (listing.isFresh(nowMillis) && listing.version() != request.hostListVersion());
    }

    private WatchReply buildReply(WatchRequest request) {
        long ageMillis = confirmationAgeMillis.get();
        RaftStatus log = status.get();
        RouteTable current = table.get();
        long nowMillis = clock.nowMillis();
        HostListCache.VersionedHostList listing = hostListCache.latest();
        boolean fresh = listing.isFresh(nowMillis);
        synchronized (this) {
            PrefixUpdateLog.Page page = prefixUpdates.pageAfter(request.prefixUpdateCursor(), request.processId());
            return new WatchReply(
                    current.version() > request.tableVersion() ? current : null,
                    current.version(),
                    ageMillis,
                    log.leader().map(Member::address).map(Address::toString).orElse(""),
                    log.membership().members().stream()
                            .map(member -> member.address().toString())
                            .toList(),
                    gatewayTracker.activeCount(nowMillis),
                    gatewayTracker.workOfOtherGateways(request.processId()),
                    page.updates(),
                    page.cursor(),
                    fresh ? listing.version() : 0,
                    fresh && listing.version() != request.hostListVersion() ? listing.upstreams() : null,
                    nowMillis - listing.readAtMillis());
        }
    }

    /** Tells all gateways what an engine holds. */
    public synchronized void publish(PrefixCacheUpdate note) {
        prefixUpdates.add("", List.of(note));
    }

    /** Returns whether any gateway ever had work in flight. */
    public boolean trafficSeen() {
        synchronized (this) {
            return gatewayTracker.trafficSeen();
        }
    }
}

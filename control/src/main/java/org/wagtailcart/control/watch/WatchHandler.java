package org.wagtailcart.control.watch;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.control.client.FleetReport;
import org.wagtailcart.control.client.GatewayReport;
import org.wagtailcart.control.client.PrefixCacheUpdate;
import org.wagtailcart.control.client.QuarantineUpdate;
import org.wagtailcart.control.client.WatchReply;
import org.wagtailcart.control.client.WatchRequest;
import org.wagtailcart.control.usage.UsageObserver;
import org.wagtailcart.coordination.Member;
import org.wagtailcart.coordination.RaftStatus;
import org.wagtailcart.policy.placement.EngineRate;
import org.wagtailcart.routes.RouteTable;
import org.wagtailcart.wire.Exchange;

/** Handles the long polls of gateways for the routing table and the host list. Thread safe. */
public final class WatchHandler {
    private static final Logger LOG = System.getLogger(WatchHandler.class.getName());
    /** Timeout of a poll without a change; a gateway gets a confirmation of its table at least this often. */
    static final long LONG_POLL_MILLIS = 250;

    private record PendingWatch(Exchange exchange, WatchRequest request, long deadlineMillis) {}

    private final Supplier<RouteTable> table;
    private final Supplier<RaftStatus> status;
    private final Supplier<Long> confirmationAgeMillis;
    private final HostListCache hostListCache;
    private final MillisClock clock;
    private final GatewayTracker gatewayTracker = new GatewayTracker();
    private final PrefixUpdateLog prefixUpdates = new PrefixUpdateLog();
    private final QuarantineTracker quarantine = new QuarantineTracker();
    private final FleetReports fleetReports;
    private List<PendingWatch> pendingWatches = new ArrayList<>();

    /**
     * Creates a handler without pending polls.
     *
     * @param confirmationAgeMillis time since this member was confirmed; read before the table
     * @param usageObserver receives the clocks and usage counts of gateways
     */
    public WatchHandler(
            Supplier<RouteTable> table,
            Supplier<RaftStatus> status,
            Supplier<Long> confirmationAgeMillis,
            HostListCache hostListCache,
            UsageObserver usageObserver,
            MillisClock clock) {
        this.table = table;
        this.status = status;
        this.confirmationAgeMillis = confirmationAgeMillis;
        this.hostListCache = hostListCache;
        this.clock = clock;
        this.fleetReports = new FleetReports(usageObserver);
    }

    /** Replies to a poll when there is a newer table, host list or quarantine, or when it has timed out. */
    public void handle(Exchange exchange, Object message) {
        WatchRequest request = (WatchRequest) message;
        long nowMillis = clock.nowMillis();
        synchronized (this) {
            gatewayTracker.record(request, nowMillis);
            prefixUpdates.add(request.processId(), request.prefixUpdates());
            QuarantineUpdate update = request.quarantineUpdate();
            if (update != null) {
                quarantine.record(update, nowMillis);
            }
            GatewayReport report = request.report();
            if (report != null) {
                fleetReports.install(table.get().workspaces());
                fleetReports.record(request.processId(), report, nowMillis);
            }
            if (!hasNewer(request, nowMillis)) {
                pendingWatches.add(new PendingWatch(exchange, request, nowMillis + LONG_POLL_MILLIS));
                return;
            }
        }
        exchange.finish(buildReply(request));
    }

    /** Replies to the pending polls for which there is something newer or whose time has expired. */
    public void replyDue() {
        long nowMillis = clock.nowMillis();
        List<PendingWatch> due = new ArrayList<>();
        synchronized (this) {
            List<PendingWatch> remaining = new ArrayList<>();
            pendingWatches.forEach(item -> {
                boolean isDue = item.deadlineMillis() <= nowMillis || hasNewer(item.request(), nowMillis);
                (isDue ? due : remaining).add(item);
            });
            pendingWatches = remaining;
        }
        due.forEach(this::reply);
    }

    /** Replies to one poll. One that cannot be replied to must not cost the other gateways their replies. */
    private void reply(PendingWatch item) {
        try {
            item.exchange().finish(buildReply(item.request()));
        } catch (RuntimeException e) {
            LOG.log(
                    Level.WARNING,
                    "cannot reply to the poll of " + item.request().processId(),
                    e);
            item.exchange().fail(new WagtailcartException(ResultCode.INTERNAL_ERROR, "poll failed: " + e));
        }
    }

    /** Returns whether the gateway must learn of a change at once. Guarded by this. */
    private boolean hasNewer(WatchRequest request, long nowMillis) {
        HostListCache.VersionedHostList hostList = hostListCache.latest();
        return table.get().version() > request.tableVersion()
                || quarantine.isUrgentFor(request.quarantineVersion())
                || (hostList.isFresh(nowMillis) && hostList.version() != request.hostListVersion());
    }

    private WatchReply buildReply(WatchRequest request) {
        long ageMillis = confirmationAgeMillis.get();
        RaftStatus raftStatus = status.get();
        RouteTable current = table.get();
        long nowMillis = clock.nowMillis();
        HostListCache.VersionedHostList hostList = hostListCache.latest();
        boolean fresh = hostList.isFresh(nowMillis);
        synchronized (this) {
            PrefixUpdateLog.Page page = prefixUpdates.pageAfter(request.prefixUpdateCursor(), request.processId());
            return new WatchReply(
                    current.version() > request.tableVersion() ? current : null,
                    current.version(),
                    ageMillis,
                    raftStatus
                            .leader()
                            .map(Member::address)
                            .map(Address::toString)
                            .orElse(""),
                    raftStatus.membership().members().stream()
                            .map(member -> member.address().toString())
                            .toList(),
                    gatewayTracker.activeCount(nowMillis),
                    gatewayTracker.workOfOtherGateways(request.processId()),
                    page.updates(),
                    page.cursor(),
                    fresh ? hostList.version() : 0,
                    fresh && hostList.version() != request.hostListVersion() ? hostList.upstreams() : null,
                    nowMillis - hostList.readAtMillis(),
                    quarantine.version(),
                    quarantine.version() == request.quarantineVersion() ? null : quarantine.state(nowMillis),
                    fleetReply(request.processId(), raftStatus, nowMillis));
        }
    }

    /** Returns the reply to a gateway's report. Gateways prefer the leader, so that only it knows the whole demand. */
    private FleetReport fleetReply(String processId, RaftStatus raftStatus, long nowMillis) {
        FleetReport reply = fleetReports.replyTo(processId, gatewayTracker.activeCount(nowMillis), nowMillis);
        return raftStatus.role() == RaftStatus.Role.LEADER ? reply : reply.withoutShares();
    }

    /** Adds a prefix update that all gateways receive. */
    public synchronized void publish(PrefixCacheUpdate update) {
        prefixUpdates.add("", List.of(update));
    }

    /** Returns the prefill rates of engines that gateways have reported. */
    public synchronized List<EngineRate> engineRates() {
        return fleetReports.engineRates();
    }

    /** Returns the load that gateways have reported. */
    public synchronized ReportedLoad load() {
        long nowMillis = clock.nowMillis();
        return new ReportedLoad(
                gatewayTracker.activeCount(nowMillis),
                gatewayTracker.requestsByUpstream(nowMillis),
                fleetReports.demand(nowMillis));
    }

    /** Returns whether any gateway has ever reported outstanding work. */
    public boolean trafficSeen() {
        synchronized (this) {
            return gatewayTracker.trafficSeen();
        }
    }
}

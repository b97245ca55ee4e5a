package org.wagtailcart.gateway.watch;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.LogEventKind;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.control.client.FleetReport;
import org.wagtailcart.control.client.QuarantineState;
import org.wagtailcart.control.client.QuarantineUpdate;
import org.wagtailcart.control.client.WatchReply;
import org.wagtailcart.control.client.WatchRequest;
import org.wagtailcart.directory.ListedUpstream;
import org.wagtailcart.gateway.list.UpstreamRegistry;
import org.wagtailcart.gateway.quarantine.PromptQuarantine;
import org.wagtailcart.gateway.report.GatewayReports;
import org.wagtailcart.routes.RouteIndex;
import org.wagtailcart.routes.RouteTable;
import org.wagtailcart.workspace.WorkspaceTable;

/**
 * Long-polling client that fetches the routing table, the host list, prefix cache updates and the quarantine from one
 * control member at a time, preferably the leader. The version of the routing table in force never decreases.
 */
public final class RouteTableWatcher implements AutoCloseable {
    /** Transport for one poll of one control member. */
    @FunctionalInterface
    public interface Transport {
        /** Sends a poll to a member; the future fails if no reply arrives within the timeout. */
        CompletableFuture<WatchReply> call(Address member, WatchRequest request, long timeoutMillis);
    }

    private static final Logger LOG = System.getLogger(RouteTableWatcher.class.getName());
    /** Timeout of a poll. A member holds a poll open for 250 ms; no reply for longer means that it is unreachable. */
    private static final long POLL_TIMEOUT_MILLIS = 700;
    /** Timeout of a poll without a routing table. A member replies to it at once, and requests wait for the table. */
    private static final long FIRST_CALL_LIMIT_MILLIS = 200;

    private static final long RETRY_MILLIS = 50;
    /** Time for which a failed member is not selected as the leader. */
    private static final long BACKOFF_MILLIS = 1_500;
    /** Validity of a quorum confirmation; a table confirmed within this time is in force everywhere. */
    private static final long CONFIRMED_MILLIS = 2_000;
    /** Time without any confirmation after which an unconfirmed table is accepted. */
    private static final long UNCONFIRMED_TABLE_DELAY_MILLIS = 4_000;

    private final String processId;
    private final Transport transport;
    private final UpstreamRegistry registry;
    private final PromptQuarantine quarantine;
    private final GatewayReports reports;
    private final ScheduledExecutorService scheduler;
    private final MillisClock clock;
    private final Set<Address> members = new LinkedHashSet<>();
    private List<Address> groupMembers = List.of();
    private final Map<Address, Long> backoffUntilMillis = new HashMap<>();
    private final long startMillis;

    private volatile RouteIndex routes = new RouteIndex(RouteTable.EMPTY);
    private volatile long confirmedUntilMillis;
    private volatile int gatewayCount = 1;
    private volatile boolean closed;
    private Address current;
    private long hostListVersion;
    private long prefixUpdateCursor;
    private long quarantineVersion;

    /**
     * Creates a watcher; {@link #start()} begins to poll.
     *
     * @param seeds peer addresses at which control members are looked up, at least one
     */
    public RouteTableWatcher(
            String processId,
            List<Address> seeds,
            Transport transport,
            UpstreamRegistry registry,
            PromptQuarantine quarantine,
            GatewayReports reports,
            ScheduledExecutorService scheduler,
            MillisClock clock) {
        this.processId = processId;
        this.transport = transport;
        this.registry = registry;
        this.quarantine = quarantine;
        this.reports = reports;
        this.scheduler = scheduler;
        this.clock = clock;
        this.members.addAll(seeds);
        this.current = seeds.get(Math.floorMod(processId.hashCode(), seeds.size()));
        this.startMillis = clock.nowMillis();
    }

    /** Starts polling. */
    public void start() {
        schedule(0);
    }

    /** Adds peer addresses at which control members are looked up. */
    public synchronized void addSeeds(List<Address> seeds) {
        members.addAll(seeds);
    }

    /** Returns the routing table in force. */
    public RouteIndex routes() {
        return routes;
    }

    /** Returns whether a quorum confirmed the table in force recently. */
    public boolean confirmed() {
        return clock.nowMillis() < confirmedUntilMillis;
    }

    /** Returns the time since the last confirmation of the table. */
    public long ageMillis() {
        return clock.nowMillis() - confirmedUntilMillis + CONFIRMED_MILLIS;
    }

    /** Returns the addresses of the control members, those in the settings before a member has named the others. */
    public synchronized List<Address> members() {
        return groupMembers.isEmpty() ? List.copyOf(members) : groupMembers;
    }

    /** Returns the number of gateways, at least 1. */
    public int gatewayCount() {
        return gatewayCount;
    }

    @Override
    public void close() {
        closed = true;
    }

    private void schedule(long delayMillis) {
        if (closed) {
            return;
        }
        try {
            ScheduledFuture<?> unused = scheduler.schedule(this::poll, delayMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.log(Level.DEBUG, "route table watcher stopped: the scheduler rejects new polls");
        }
    }

    private void poll() {
        Address member = current();
        long sentAtMillis = clock.nowMillis();
        long knownQuarantineVersion = quarantineVersion();
        QuarantineUpdate quarantineUpdate;
        try {
            quarantineUpdate = quarantine.drainUpdate(knownQuarantineVersion == 0);
        } catch (RuntimeException e) {
            onReply(member, sentAtMillis, QuarantineUpdate.NONE, null, e);
            return;
        }
        CompletableFuture<?> unused = send(member, knownQuarantineVersion, quarantineUpdate)
                .whenComplete((reply, error) -> onReply(member, sentAtMillis, quarantineUpdate, reply, error));
    }

    /** Sends a poll. An exception fails the future, since the next poll is scheduled only when this one ends. */
    private CompletableFuture<WatchReply> send(
            Address member, long knownQuarantineVersion, QuarantineUpdate quarantineUpdate) {
        try {
            return transport.call(member, request(knownQuarantineVersion, quarantineUpdate), pollTimeoutMillis());
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private WatchRequest request(long knownQuarantineVersion, QuarantineUpdate quarantineUpdate) {
        return new WatchRequest(
                processId,
                routes.table().version(),
                currentHostListVersion(),
                registry.ownWork(),
                registry.drainPrefixUpdates(),
                prefixUpdateCursor(),
                knownQuarantineVersion,
                quarantineUpdate.equals(QuarantineUpdate.NONE) ? null : quarantineUpdate,
                reports.collect());
    }

    private long pollTimeoutMillis() {
        return routes.table().version() == 0 ? FIRST_CALL_LIMIT_MILLIS : POLL_TIMEOUT_MILLIS;
    }

    private void onReply(
            Address member,
            long sentAtMillis,
            QuarantineUpdate quarantineUpdate,
            @Nullable WatchReply reply,
            @Nullable Throwable error) {
        long delayMillis = RETRY_MILLIS;
        try {
            if (reply == null) {
                quarantine.restore(quarantineUpdate, sentAtMillis);
                onFailure(member, String.valueOf(error));
            } else {
                applyReply(member, sentAtMillis, reply);
                delayMillis = 0;
            }
        } catch (RuntimeException e) {
            onFailure(member, String.valueOf(e));
        } finally {
            schedule(delayMillis);
        }
    }

    private synchronized Address current() {
        return current;
    }

    private synchronized long currentHostListVersion() {
        return hostListVersion;
    }

    private synchronized long prefixUpdateCursor() {
        return prefixUpdateCursor;
    }

    private synchronized long quarantineVersion() {
        return quarantineVersion;
    }

    private synchronized void onFailure(Address member, String reason) {
        if (!backoffUntilMillis.containsKey(member)) {
            LogEventKind.CONTROL_LOST.log(LOG, Level.WARNING, member, reason);
        }
        backoffUntilMillis.put(member, clock.nowMillis() + BACKOFF_MILLIS);
        switchToNextMember();
    }

    private void switchToNextMember() {
        List<Address> addresses = List.copyOf(members);
        current = addresses.get((addresses.indexOf(current) + 1) % addresses.size());
        forgetMemberState();
    }

    /** Forgets what is known of the state of one member before another one is polled. */
    private void forgetMemberState() {
        hostListVersion = 0;
        prefixUpdateCursor = 0;
        quarantineVersion = 0;
        registry.controlMemberChanged();
    }

    private synchronized void applyReply(Address member, long sentAtMillis, WatchReply reply) {
        if (backoffUntilMillis.remove(member) != null) {
            LogEventKind.CONTROL_REGAINED.log(LOG, Level.INFO, member);
        }
        List<Address> latestMembers =
                reply.memberAddresses().stream().map(Address::parse).toList();
        members.addAll(latestMembers);
        groupMembers = latestMembers;
        boolean confirmed = reply.confirmationAgeMillis() < CONFIRMED_MILLIS;
        RouteTable table = reply.table();
        if (table != null && (confirmed || mayInstallUnconfirmed())) {
            installTable(member, table, reply.confirmationAgeMillis());
        }
        if (confirmed && reply.tableVersion() <= routes.table().version()) {
            confirmedUntilMillis =
                    Math.max(confirmedUntilMillis, sentAtMillis - reply.confirmationAgeMillis() + CONFIRMED_MILLIS);
        }
        registry.applyPrefixUpdates(reply.prefixUpdates());
        prefixUpdateCursor = reply.prefixUpdateCursor();
        QuarantineState quarantineState = reply.quarantine();
        if (quarantineState != null) {
            quarantine.apply(quarantineState, clock.nowMillis());
        }
        quarantineVersion = reply.quarantineVersion();
        applyOtherGateways(member, reply);
        applyHostList(sentAtMillis, reply);
        FleetReport fleet = reply.fleet();
        if (fleet != null) {
            reports.apply(fleet, clock.nowMillis());
        }
        followLeader(member, reply, confirmed);
    }

    private boolean mayInstallUnconfirmed() {
        return clock.nowMillis() - Math.max(startMillis, confirmedUntilMillis) > UNCONFIRMED_TABLE_DELAY_MILLIS;
    }

    private void installTable(Address member, RouteTable table, long ageMillis) {
        if (table.version() <= routes.table().version()) {
            return;
        }
        registry.services(table.services());
        reports.install(table);
        routes = new RouteIndex(table);
        LogEventKind.TABLE_INSTALLED.log(
                LOG, Level.INFO, table.version(), table.routes().size(), workspaceCount(table), member, ageMillis);
    }

    private static int workspaceCount(RouteTable table) {
        WorkspaceTable workspaces = table.workspaces();
        return workspaces == null ? -1 : workspaces.workspaces().size();
    }

    /**
     * Applies what the other gateways have sent to upstreams. The leader knows that before it has read the host list,
     * for example after an outage, when all gateways start at the same time; other members know a part of it.
     */
    private void applyOtherGateways(Address member, WatchReply reply) {
        if (reply.hostListVersion() != 0 || reply.leaderAddress().equals(member.toString())) {
            gatewayCount = Math.max(1, reply.gatewayCount());
            registry.updateOtherGatewaysWork(reply.otherGatewaysWork());
        }
    }

    private void applyHostList(long sentAtMillis, WatchReply reply) {
        if (reply.hostListVersion() == 0) {
            hostListVersion = 0;
            return;
        }
        // The member measured the age when it replied; the send time is earlier and so a safe bound.
        long readAtMillis = sentAtMillis - reply.hostListAgeMillis();
        List<ListedUpstream> upstreams = reply.upstreams();
        if (upstreams != null) {
            registry.applyHostList(upstreams, readAtMillis, "control");
            hostListVersion = reply.hostListVersion();
        } else if (reply.hostListVersion() == hostListVersion) {
            registry.confirmHostList(readAtMillis);
        }
    }

    private void followLeader(Address member, WatchReply reply, boolean confirmed) {
        Address leader = reply.leaderAddress().isEmpty() ? null : Address.parse(reply.leaderAddress());
        boolean backedOff =
                leader != null && backoffUntilMillis.getOrDefault(leader, Long.MIN_VALUE) > clock.nowMillis();
        if (leader != null && !backedOff && !leader.equals(member)) {
            current = leader;
            forgetMemberState();
        } else if (!confirmed) {
            switchToNextMember();
        }
    }
}

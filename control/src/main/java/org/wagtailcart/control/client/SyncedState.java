package org.wagtailcart.control.client;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.pcollections.TreePMap;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.settings.SettingsTree;

/**
 * Immutable state of a process as of its latest sync.
 *
 * @param settings settings tree in force
 * @param fleetVersion fleet version in force
 * @param upstreams upstreams by id
 * @param leaseDeadlineMillis monotonic time at which the settings lease expires
 * @param grantDeadlinesMillis monotonic times until which engines may run above the soft limit, by upstream id
 * @param entryCount number of entries that share the workspace limits, at least 1
 */
record SyncedState(
        SettingsTree settings,
        long fleetVersion,
        TreePMap<String, UpstreamView> upstreams,
        long leaseDeadlineMillis,
        Map<String, Long> grantDeadlinesMillis,
        int entryCount) {
    /** Time without confirmation after which a process refuses new work. */
    static final long LEASE_MILLIS = 12_000;

    // Earlier than any monotonic time, but with enough margin that differences do not overflow.
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 4;

    static final SyncedState INITIAL =
            new SyncedState(SettingsTree.EMPTY, 0, TreePMap.empty(), NEVER_MILLIS, Map.of(), 1);

    /**
     * Returns the state after a reply, or this state when the revision or fleet version of the reply is older.
     *
     * @param sentAtMillis monotonic time at which the request was sent
     */
    SyncedState withReply(SyncReply reply, long sentAtMillis) {
        if (reply.revision() < settings.revision() || reply.fleetVersion() < fleetVersion) {
            return this;
        }
        long confirmedUntilMillis = sentAtMillis + LEASE_MILLIS - Math.max(0, reply.confirmationAgeMillis());
        return new SyncedState(
                settingsWith(reply),
                reply.fleetVersion(),
                upstreamsWith(reply),
                Math.max(leaseDeadlineMillis, confirmedUntilMillis),
                grantsWith(reply.grants(), sentAtMillis),
                reply.entryCount() > 0 ? reply.entryCount() : entryCount);
    }

    boolean versionsDifferFrom(SyncedState other) {
        return settings.revision() != other.settings().revision() || fleetVersion != other.fleetVersion();
    }

    private SettingsTree settingsWith(SyncReply reply) {
        if (reply.revision() == settings.revision()) {
            return settings;
        }
        SettingsTree from = reply.full() ? SettingsTree.EMPTY : settings;
        return from.withEdits(reply.revision(), reply.edits());
    }

    private TreePMap<String, UpstreamView> upstreamsWith(SyncReply reply) {
        TreePMap<String, UpstreamView> views = reply.full() ? TreePMap.empty() : upstreams;
        views = views.minusAll(reply.removedUpstreamIds());
        for (UpstreamView view : reply.upstreams()) {
            views = views.plus(view.upstreamId(), view);
        }
        return views;
    }

    private Map<String, Long> grantsWith(List<PowerGrant> grants, long sentAtMillis) {
        if (grants.isEmpty() && grantDeadlinesMillis.isEmpty()) {
            return Map.of();
        }
        Map<String, Long> deadlines = new HashMap<>(grantDeadlinesMillis);
        grants.forEach(grant -> deadlines.merge(grant.upstreamId(), sentAtMillis + grant.validMillis(), Math::max));
        deadlines.values().removeIf(deadline -> deadline <= sentAtMillis);
        return Map.copyOf(deadlines);
    }
}

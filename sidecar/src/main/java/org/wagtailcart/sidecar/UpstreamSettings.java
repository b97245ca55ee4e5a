package org.wagtailcart.sidecar;

import java.util.Map;
import java.util.stream.Collectors;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.UpstreamKind;
import org.wagtailcart.control.client.ControlView;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.settings.SettingsTree;

/** Settings of upstreams that take effect in the sidecar. Safe for use by several threads. */
final class UpstreamSettings {
    private static final String UPSTREAMS = "/upstreams/";
    private static final String ADDRESS = "address";
    private static final String SOFT_MAX_IN_FLIGHT = "soft-max-in-flight";
    private static final String DRAIN_LIMIT = "drain-limit-millis";

    /** Branches of the upstreams in one tree; looked up once for each tree, because it has many other branches. */
    private record Index(SettingsTree tree, Map<String, String> branchByUpstreamId) {
        static Index of(SettingsTree tree) {
            return new Index(
                    tree,
                    tree.branches().stream()
                            .filter(branch -> branch.startsWith(UPSTREAMS))
                            .filter(branch -> tree.ownValues(branch).containsKey(ADDRESS))
                            .collect(Collectors.toMap(
                                    branch -> branch.substring(branch.lastIndexOf('/') + 1),
                                    branch -> branch,
                                    (first, second) -> first)));
        }
    }

    private final ControlView view;
    private final MillisClock clock;
    private final long defaultDrainLimitMillis;
    private volatile Index index;

    UpstreamSettings(ControlView view, MillisClock clock, long defaultDrainLimitMillis) {
        this.view = view;
        this.clock = clock;
        this.defaultDrainLimitMillis = defaultDrainLimitMillis;
        this.index = Index.of(view.settings());
    }

    /** Returns the limits of an upstream now; a plain service needs no grant. */
    ConcurrencyLimits limits(UpstreamView upstream) {
        int hard = Math.max(1, upstream.maxInFlight());
        int soft = (int) longSetting(upstream.upstreamId(), SOFT_MAX_IN_FLIGHT, hard);
        boolean granted = upstream.kind() == UpstreamKind.SERVICE
                || view.powerGrantDeadlineMillis(upstream.upstreamId()) > clock.nowMillis();
        return new ConcurrencyLimits(hard, Math.max(1, soft), granted);
    }

    /** Returns the time that running streams get before they are moved off a leaving engine or one with an order. */
    long drainLimitMillis(UpstreamView upstream) {
        return longSetting(upstream.upstreamId(), DRAIN_LIMIT, defaultDrainLimitMillis);
    }

    private long longSetting(String upstreamId, String key, long otherwise) {
        SettingsTree tree = view.settings();
        Index current = index;
        if (current.tree() != tree) {
            current = Index.of(tree);
            index = current;
        }
        String branch = current.branchByUpstreamId().get(upstreamId);
        return branch == null
                ? otherwise
                : tree.effectiveValue(branch, key).map(Long::parseLong).orElse(otherwise);
    }
}

package org.wagtailcart.sidecar;

import java.util.Map;
import java.util.stream.Collectors;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.UpstreamKind;
import org.wagtailcart.control.client.ControlView;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.settings.SettingsTree;

/** Reader of the settings of upstreams that the sidecar applies. Thread-safe. */
final class UpstreamSettings {
    private static final String UPSTREAMS = "/upstreams/";
    private static final String ADDRESS = "address";
    private static final String SOFT_MAX_IN_FLIGHT = "soft-max-in-flight";
    private static final String DRAIN_LIMIT = "drain-limit-millis";

    /**
     * Index of the upstream branches of one settings tree, built once per tree because the tree has many other
     * branches.
     */
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

    /** Returns the concurrency limits in force for an upstream; a plain service needs no power grant. */
    ConcurrencyLimits limits(UpstreamView upstream) {
        int hard = Math.max(1, upstream.maxInFlight());
        int soft = (int) longSetting(upstream.upstreamId(), SOFT_MAX_IN_FLIGHT, hard);
        boolean granted = upstream.kind() == UpstreamKind.SERVICE
                || view.powerGrantDeadlineMillis(upstream.upstreamId()) > clock.nowMillis();
        return new ConcurrencyLimits(hard, Math.max(1, soft), granted);
    }

    /** Returns the time until the streams of an engine that is leaving or has an order are aborted for resumption. */
    long drainLimitMillis(UpstreamView upstream) {
        return longSetting(upstream.upstreamId(), DRAIN_LIMIT, defaultDrainLimitMillis);
    }

    private long longSetting(String upstreamId, String key, long defaultValue) {
        SettingsTree tree = view.settings();
        Index current = index;
        if (current.tree() != tree) {
            current = Index.of(tree);
            index = current;
        }
        String branch = current.branchByUpstreamId().get(upstreamId);
        return branch == null
                ? defaultValue
                : tree.effectiveValue(branch, key).map(Long::parseLong).orElse(defaultValue);
    }
}

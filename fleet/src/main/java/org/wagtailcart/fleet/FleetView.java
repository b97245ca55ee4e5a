package org.wagtailcart.fleet;

import java.util.List;
import org.pcollections.TreePMap;

/**
 * Immutable, versioned view of all upstreams, from which the changes since an earlier version can be computed.
 *
 * @param version version of the latest change, a log index
 * @param upstreams views by upstream id
 * @param removed ids of removed upstreams by the version that removed them
 * @param removedSince version from which {@code removed} is complete
 */
public record FleetView(
        long version,
        TreePMap<String, UpstreamView> upstreams,
        TreePMap<Long, List<String>> removed,
        long removedSince) {
    // Bounds the removals kept for deltas. Removals are rare (460 replaced hosts a day at target size); a process that
    // missed more receives the full view.
    private static final int RETAINED_REMOVALS = 2_000;

    static final FleetView EMPTY = new FleetView(0, TreePMap.empty(), TreePMap.empty(), 0);

    /** Returns whether the changes since a version can be computed from this view. */
    public boolean hasDeltaSince(long since) {
        return since >= removedSince && since <= version && since > 0;
    }

    /** Returns the views that changed since a version; all views for version 0. */
    public List<UpstreamView> changedSince(long since) {
        if (since >= version) {
            return List.of();
        }
        return upstreams.values().stream()
                .filter(view -> view.version() > since)
                .toList();
    }

    /** Returns the ids removed since a version and not added again. */
    public List<String> removedSince(long since) {
        return removed.tailMap(since, false).values().stream()
                .flatMap(List::stream)
                .filter(id -> !upstreams.containsKey(id))
                .distinct()
                .toList();
    }

    FleetView withChanges(long index, List<UpstreamView> changed, List<String> removedIds) {
        if (changed.isEmpty() && removedIds.isEmpty()) {
            return this;
        }
        TreePMap<String, UpstreamView> views = upstreams.minusAll(removedIds);
        for (UpstreamView view : changed) {
            views = views.plus(view.upstreamId(), view);
        }
        TreePMap<Long, List<String>> removals =
                removedIds.isEmpty() ? removed : removed.plus(index, List.copyOf(removedIds));
        long since = removedSince;
        while (removals.size() > RETAINED_REMOVALS) {
            since = removals.firstKey();
            removals = removals.minus(since);
        }
        return new FleetView(index, views, removals, since);
    }
}

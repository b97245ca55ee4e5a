package org.wagtailcart.fleet;

import java.util.List;
import org.pcollections.TreePMap;

/**
 * Immutable view of all upstreams.
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
    // Removals are rare (460 replaced hosts a day at target size); a process that missed more gets the whole fleet.
    private static final int RETAINED_REMOVALS = 2_000;

    static final FleetView EMPTY = new FleetView(0, TreePMap.empty(), TreePMap.empty(), 0);

    /** Returns whether changes since a version can be told from this view. */
    public boolean hasDeltaSince(long since) {
        return since >= removedSince && since <= version && since > 0;
    }

    /** Returns the views changed since a version, all of them for 0. */
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

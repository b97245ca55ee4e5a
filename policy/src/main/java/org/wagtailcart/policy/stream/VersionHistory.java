package org.wagtailcart.policy.stream;

import java.util.HashMap;
import java.util.Map;
import java.util.Map.Entry;
import java.util.Optional;
import java.util.Set;

/**
 * Software versions that a reader of the host list has seen of each service. Where a service has had a single version for
 * longer than a stream lasts, all its streams are of that version. Not thread safe.
 */
public final class VersionHistory {
    /** Age of the list from which other versions may have appeared. */
    private static final long MAX_LIST_AGE_MILLIS = 3_000;

    private final Map<String, Map<String, Long>> lastSeenMillisByVersion = new HashMap<>();
    private Map<String, Set<String>> listed = Map.of();
    private long observedSinceMillis = Long.MAX_VALUE;
    private long lastReadMillis = Long.MIN_VALUE / 4;

    /** Records the versions of each service in a list. */
    public void observe(Map<String, Set<String>> versionsByService, long readAtMillis) {
        // A version that is no longer listed may have served until now.
        recordSeen(readAtMillis);
        listed = versionsByService;
        confirm(readAtMillis);
    }

    /** Records that the list was unchanged at a time. */
    public void confirm(long readAtMillis) {
        if (readAtMillis - lastReadMillis > MAX_LIST_AGE_MILLIS) {
            observedSinceMillis = readAtMillis;
        }
        lastReadMillis = Math.max(lastReadMillis, readAtMillis);
        recordSeen(readAtMillis);
    }

    private void recordSeen(long readAtMillis) {
        listed.forEach((service, versions) -> {
            Map<String, Long> lastSeen = lastSeenMillisByVersion.computeIfAbsent(service, name -> new HashMap<>());
            versions.forEach(version -> lastSeen.merge(version, readAtMillis, Math::max));
        });
    }

    /**
     * Returns the version of all streams of a service.
     *
     * @param windowMillis longest time for which a stream may be resumed after it began
     * @return empty if there was another version in that time, or the list was not observed for all of it
     */
    public Optional<String> onlyVersion(String service, long windowMillis, long nowMillis) {
        long fromMillis = nowMillis - windowMillis;
        Map<String, Long> lastSeen = lastSeenMillisByVersion.getOrDefault(service, Map.of());
        lastSeen.values().removeIf(seenMillis -> seenMillis < fromMillis);
        boolean observed = observedSinceMillis <= fromMillis && nowMillis - lastReadMillis <= MAX_LIST_AGE_MILLIS;
        return observed && lastSeen.size() == 1
                ? lastSeen.entrySet().stream().map(Entry::getKey).findFirst()
                : Optional.empty();
    }
}

package org.wagtailcart.policy.stream;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Table of the origins of recent streams by the id of the attempt that delivered the first event. An entry expires when
 * its stream can no longer be resumed. Not thread safe.
 */
public final class StreamOrigins {
    /** Bounds the memory to about 20 MB; the oldest entries are dropped first. */
    private static final int MAX_ENTRIES = 100_000;

    /**
     * Entry of an attempt.
     *
     * @param origin its origin, null if attempts with the same id had different ones
     * @param expiresAtMillis time from which the entry is not used
     */
    private record Entry(@Nullable StreamOrigin origin, long expiresAtMillis) {}

    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** Records the origin of a stream. An id with two origins has none that can be relied on. */
    public void record(String requestId, StreamOrigin origin, long expiresAtMillis, long nowMillis) {
        Entry known = entries.remove(requestId);
        boolean conflict = known != null && known.expiresAtMillis() > nowMillis && !origin.equals(known.origin());
        entries.put(requestId, new Entry(conflict ? null : origin, expiresAtMillis));
        dropOldest(nowMillis);
    }

    private void dropOldest(long nowMillis) {
        Iterator<Entry> oldest = entries.values().iterator();
        while (oldest.hasNext()) {
            Entry entry = oldest.next();
            if (entry.expiresAtMillis() > nowMillis && entries.size() <= MAX_ENTRIES) {
                return;
            }
            oldest.remove();
        }
    }

    /** Returns the origin of a stream, empty if it is not known. */
    public Optional<StreamOrigin> find(String requestId, long nowMillis) {
        return Optional.ofNullable(entries.get(requestId))
                .filter(entry -> entry.expiresAtMillis() > nowMillis)
                .flatMap(entry -> Optional.ofNullable(entry.origin()));
    }

    /** Returns the number of entries, including some that have expired. */
    public int size() {
        return entries.size();
    }
}

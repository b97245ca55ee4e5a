package org.wagtailcart.control.watch;

import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.wagtailcart.directory.ListedUpstream;

/** The host list that the leader read last, for all gateways, so that one reader serves them all. Thread safe. */
public final class HostListCache {
    /** A list that was read longer ago is not passed on; gateways read their own then. */
    private static final long MAX_AGE_MILLIS = 3_000;

    /**
     * A list.
     *
     * @param version changes with the content; only equality counts
     * @param upstreams the content
     * @param readAtMillis monotonic time before it was read
     */
    public record VersionedHostList(long version, List<ListedUpstream> upstreams, long readAtMillis) {
        /** Returns whether the list may be passed on. */
        boolean isFresh(long nowMillis) {
            return version != 0 && nowMillis - readAtMillis < MAX_AGE_MILLIS;
        }
    }

    private volatile VersionedHostList latest = new VersionedHostList(0, List.of(), 0);

    /** Returns the latest list. */
    public VersionedHostList latest() {
        return latest;
    }

    /** Takes a list; returns whether it differs from the one before. */
    public boolean update(List<ListedUpstream> upstreams, long readAtMillis) {
        VersionedHostList before = latest;
        boolean same = before.version() != 0 && before.upstreams().equals(upstreams);
        long version = same ? before.version() : ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
        latest = new VersionedHostList(version, List.copyOf(upstreams), readAtMillis);
        return !same;
    }
}

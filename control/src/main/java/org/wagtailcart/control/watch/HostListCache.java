package org.wagtailcart.control.watch;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.wagtailcart.directory.ListedUpstream;

/** Cache of the host list last read by the leader, so that one read serves all gateways. Thread safe. */
public final class HostListCache {
    /** An older list is not served; the gateways then read the host list themselves. */
    private static final long MAX_AGE_MILLIS = 3_000;

    /**
     * Host list with a version.
     *
     * @param version random number that changes with the content, 0 for no list; versions have no order
     * @param upstreams the content
     * @param readAtMillis monotonic time at which the read started
     */
    public record VersionedHostList(long version, List<ListedUpstream> upstreams, long readAtMillis) {
        /** Returns whether the list is recent enough to be served. */
        boolean isFresh(long nowMillis) {
            return version != 0 && nowMillis - readAtMillis < MAX_AGE_MILLIS;
        }
    }

    private volatile VersionedHostList latest = new VersionedHostList(0, List.of(), 0);

    /** Returns the latest list, with version 0 before the first update. */
    public VersionedHostList latest() {
        return latest;
    }

    /** Returns the upstreams, empty without a recent list. */
    public Optional<List<ListedUpstream>> recent(long nowMillis) {
        VersionedHostList current = latest;
        return current.isFresh(nowMillis) ? Optional.of(current.upstreams()) : Optional.empty();
    }

    /** Replaces the list and returns whether its content differs from the previous one. */
    public boolean update(List<ListedUpstream> upstreams, long readAtMillis) {
        VersionedHostList before = latest;
        boolean same = before.version() != 0 && before.upstreams().equals(upstreams);
        long version = same ? before.version() : ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
        latest = new VersionedHostList(version, List.copyOf(upstreams), readAtMillis);
        return !same;
    }
}

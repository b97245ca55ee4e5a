package org.wagtailcart.control.client;

import java.util.Collection;
import java.util.Optional;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.settings.SettingsTree;

/**
 * Read view of settings, fleet and leases as of the latest sync with the control group. Methods may be called by any
 * thread and do not block.
 */
public interface ControlView {
    /** Returns the settings tree in force. Its revision never decreases. */
    SettingsTree settings();

    /** Returns an upstream, empty when the id is not in the fleet. */
    Optional<UpstreamView> upstream(String upstreamId);

    /** Returns all upstreams. */
    Collection<UpstreamView> upstreams();

    /** Returns the monotonic time at which the settings lease expires. */
    long leaseDeadlineMillis();

    /** Returns the monotonic time until which an engine may run above the soft limit, 0 when it has no grant. */
    long powerGrantDeadlineMillis(String upstreamId);

    /** Starts a sync immediately, used when a request carries a newer revision than the one in force. */
    void requestSync();

    /** Registers an action that runs after each installed change of settings or fleet. It must not block. */
    void onChange(Runnable action);

    /**
     * Returns the number of entries that sync with the control group, at least 1. A limit over all entries is
     * divided by it.
     */
    default int entryCount() {
        return 1;
    }
}

package org.wagtailcart.control.client;

import java.util.Collection;
import java.util.Optional;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.settings.SettingsTree;

/** What a process knows from its syncs. Methods may be called by any thread and do not block. */
public interface ControlView {
    /** Returns the settings tree in force; its revision never goes back. */
    SettingsTree settings();

    /** Returns one upstream. */
    Optional<UpstreamView> upstream(String upstreamId);

    /** Returns all upstreams. */
    Collection<UpstreamView> upstreams();

    /** Returns the monotonic time until which the settings count as confirmed. */
    long leaseDeadlineMillis();

    /** Returns the monotonic time until which an engine may run hard, 0 for never. */
    long powerGrantDeadlineMillis(String upstreamId);

    /** Starts a sync now, for a request that carried a newer revision. */
    void requestSync();

    /** Registers an action that runs after each installed change of settings or fleet; it must not block. */
    void onChange(Runnable action);

    /** Returns the number of entries that sync with the control group, at least 1; limits over all entries are shared by it. */
    default int entryCount() {
        return 1;
    }
}

package org.wagtailcart.usage;

import java.util.Map;

/**
 * A window whose counts no longer change.
 *
 * @param window number of the window
 * @param countByWorkspace number of requests of each workspace
 * @param reported whether the platform accepted the report, or the window is too old to be reported
 */
public record ClosedUsageWindow(long window, Map<String, Long> countByWorkspace, boolean reported) {
    /** Returns the number of requests of all workspaces. */
    public long total() {
        return countByWorkspace.values().stream().mapToLong(Long::longValue).sum();
    }

    ClosedUsageWindow asReported() {
        return new ClosedUsageWindow(window, countByWorkspace, true);
    }
}

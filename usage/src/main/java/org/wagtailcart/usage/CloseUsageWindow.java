package org.wagtailcart.usage;

import java.util.Map;

/**
 * Command that stores the counts of a window. The first one for a window wins; its result is the stored
 * {@link ClosedUsageWindow}.
 *
 * @param window number of the window
 * @param countByWorkspace number of requests of each workspace
 */
public record CloseUsageWindow(long window, Map<String, Long> countByWorkspace) {}

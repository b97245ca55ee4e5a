package org.wagtailcart.settings;

import java.util.List;

/**
 * Accepted change in the history of the settings tree.
 *
 * @param revision revision that the change created
 * @param changeId id of the change
 * @param operator name of the operator
 * @param timeMillis time by the leader's clock, in milliseconds since 1970
 * @param edits edits in order
 */
public record SettingsChange(
        long revision, String changeId, String operator, long timeMillis, List<SettingsEdit> edits) {}

package org.wagtailcart.settings;

import java.util.List;

/**
 * An accepted change.
 *
 * @param revision revision it made
 * @param changeId id the operator gave it
 * @param operator who made it
 * @param timeMillis when, milliseconds since 1970 by the leader's clock
 * @param edits edits in order
 */
public record SettingsChange(
        long revision, String changeId, String operator, long timeMillis, List<SettingsEdit> edits) {}

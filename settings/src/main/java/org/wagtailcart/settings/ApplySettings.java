package org.wagtailcart.settings;

import java.util.List;

/**
 * Command that applies edits to the settings tree.
 *
 * @param changeId id of the change; a resent change gets the first result
 * @param operator name of the operator
 * @param expectedRevision revision that the change is based on; refused when another one is in force
 * @param edits edits in order, applied all or none
 */
public record ApplySettings(String changeId, String operator, long expectedRevision, List<SettingsEdit> edits) {}

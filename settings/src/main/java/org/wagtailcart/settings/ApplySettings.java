package org.wagtailcart.settings;

import java.util.List;

/**
 * Command: changes the settings tree.
 *
 * @param changeId identifies the change; a resent change gets the first result
 * @param operator who made it
 * @param expectedRevision revision the operator saw
 * @param edits applied together or not at all
 */
public record ApplySettings(String changeId, String operator, long expectedRevision, List<SettingsEdit> edits) {}

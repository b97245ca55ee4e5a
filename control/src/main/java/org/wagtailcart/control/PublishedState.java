package org.wagtailcart.control;

import org.wagtailcart.fleet.FleetView;
import org.wagtailcart.settings.SettingsHistory;

/**
 * Immutable state after one applied command, shared with the threads that answer syncs and operators.
 *
 * @param appliedIndex log index of that command
 * @param settings settings with history
 * @param fleet upstreams
 */
public record PublishedState(long appliedIndex, SettingsHistory settings, FleetView fleet) {}

package org.wagtailcart.control;

import org.wagtailcart.fleet.FleetView;
import org.wagtailcart.settings.SettingsHistory;

/**
 * Immutable view of the replicated state after one applied command, read by the threads that serve syncs and operators.
 *
 * @param appliedIndex log index of that command
 * @param settings settings tree with its history
 * @param fleet upstreams with their state
 */
public record PublishedState(long appliedIndex, SettingsHistory settings, FleetView fleet) {}

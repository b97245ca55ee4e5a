package org.wagtailcart.control;

import java.util.Collection;
import java.util.List;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.settings.SettingsTree;

/**
 * What the leader sees when it plans.
 *
 * @param settings tree in force
 * @param upstreams all upstreams
 * @param loads latest reports of all processes
 */
public record FleetSnapshot(SettingsTree settings, Collection<UpstreamView> upstreams, List<ObservedLoad> loads) {}

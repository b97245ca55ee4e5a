package org.wagtailcart.control;

import java.util.Collection;
import java.util.List;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.settings.SettingsTree;

/**
 * Input of the {@link FleetPlanner}: settings, upstreams and load at one point in time.
 *
 * @param settings settings tree in force
 * @param upstreams all upstreams
 * @param loads latest load reports of all processes
 */
public record FleetSnapshot(SettingsTree settings, Collection<UpstreamView> upstreams, List<ObservedLoad> loads) {}

package org.wagtailcart.control.client;

import java.util.List;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.settings.SettingsEdit;

/**
 * Body of a {@link DeflatedSyncReply}, with the fields of a {@link SyncReply} that can be large.
 *
 * @param edits settings edits, in order
 * @param upstreams upstreams with their state
 */
public record SyncBody(List<SettingsEdit> edits, List<UpstreamView> upstreams) {}

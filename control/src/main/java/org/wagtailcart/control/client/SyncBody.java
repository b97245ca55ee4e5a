package org.wagtailcart.control.client;

import java.util.List;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.settings.SettingsEdit;

/**
 * The large parts of a {@link SyncReply}.
 *
 * @param edits settings edits, in order
 * @param upstreams views of upstreams
 */
public record SyncBody(List<SettingsEdit> edits, List<UpstreamView> upstreams) {}

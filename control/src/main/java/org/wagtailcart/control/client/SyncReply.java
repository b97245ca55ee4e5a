package org.wagtailcart.control.client;

import java.util.List;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.settings.SettingsEdit;

/**
 * Reply to {@link SyncRequest}.
 *
 * @param revision settings revision of this reply
 * @param full whether {@code edits} hold the full tree and {@code upstreams} the full fleet, rather than the changes
 *     since the requester's revision and fleet version
 * @param edits settings edits, in order
 * @param fleetVersion fleet version of this reply
 * @param upstreams upstreams changed since the requester's fleet version
 * @param removedUpstreamIds ids of the upstreams removed since then
 * @param confirmationAgeMillis time since a leader with a quorum confirmed the replying member
 * @param grants power grants for the requester's upstreams
 * @param leaderAddress peer address of the leader, empty when unknown
 * @param entryCount number of entries that sync and share the workspace limits, 0 when unknown to the member
 */
public record SyncReply(
        long revision,
        boolean full,
        List<SettingsEdit> edits,
        long fleetVersion,
        List<UpstreamView> upstreams,
        List<String> removedUpstreamIds,
        long confirmationAgeMillis,
        List<PowerGrant> grants,
        String leaderAddress,
        int entryCount) {}

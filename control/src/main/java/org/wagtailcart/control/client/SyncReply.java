package org.wagtailcart.control.client;

import java.util.List;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.settings.SettingsEdit;

/**
 * Answer to {@link SyncRequest}.
 *
 * @param revision settings revision of this answer
 * @param full whether {@code edits} hold the whole tree and {@code upstreams} the whole fleet, rather than the
 *     changes since the requester's revision and fleet version
 * @param edits settings edits, in order
 * @param fleetVersion fleet version of this answer
 * @param upstreams views changed since the requester's fleet version
 * @param removedUpstreamIds upstreams removed since then
 * @param confirmationAgeMillis time since a leader with a quorum confirmed the answering member
 * @param grants power grants for the requester's upstreams
 * @param leaderAddress peer address of the leader, empty when unknown
 * @param entryCount entries that sync, 0 when the member does not know; they share the limits of workspaces
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

package org.wagtailcart.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.control.client.DeflatedSyncReply;
import org.wagtailcart.control.client.PowerGrant;
import org.wagtailcart.control.client.SyncReply;
import org.wagtailcart.control.client.SyncReplyCompression;
import org.wagtailcart.control.client.SyncRequest;
import org.wagtailcart.settings.SettingsEdit;
import org.wagtailcart.settings.SettingsHistory;
import org.wagtailcart.wire.MessageCodec;

/**
 * Builds the replies to sync requests from the published state: the changes since the requester's versions when they
 * are retained, otherwise the full state, whose compressed form is cached. Thread safe.
 */
final class SyncReplyBuilder {
    // A smaller reply fits into one burst of network packets, so compressing it does not pay off.
    private static final int MAX_UNCOMPRESSED_ITEMS = 100;
    // With more edits the full tree is cheaper to apply, and it is compressed only once for all processes.
    private static final int MAX_DELTA_EDITS = 5_000;

    private record CachedFullReply(long revision, long fleetVersion, DeflatedSyncReply reply) {}

    private final MessageCodec codec;
    private final AtomicReference<@Nullable CachedFullReply> cachedFullReply = new AtomicReference<>();

    SyncReplyBuilder(MessageCodec codec) {
        this.codec = codec;
    }

    /** Returns the reply to a request, a {@code SyncReply} or a {@code DeflatedSyncReply}. */
    Record buildReply(
            SyncRequest request,
            PublishedState state,
            long confirmationAgeMillis,
            List<PowerGrant> grants,
            String leaderAddress,
            int entryCount) {
        SettingsHistory settings = state.settings();
        boolean behind = request.revision() > settings.current().revision()
                || request.fleetVersion() > state.fleet().version();
        Optional<List<SettingsEdit>> edits = behind
                ? Optional.of(List.of())
                : settings.editsSince(request.revision()).filter(list -> list.size() <= MAX_DELTA_EDITS);
        boolean delta = behind || (edits.isPresent() && hasFleetDelta(request, state));
        if (!delta) {
            return withHeader(fullReply(state), confirmationAgeMillis, grants, leaderAddress, entryCount);
        }
        SyncReply reply = new SyncReply(
                settings.current().revision(),
                false,
                edits.orElse(List.of()),
                state.fleet().version(),
                behind ? List.of() : state.fleet().changedSince(request.fleetVersion()),
                behind ? List.of() : state.fleet().removedSince(request.fleetVersion()),
                confirmationAgeMillis,
                grants,
                leaderAddress,
                entryCount);
        int items = reply.edits().size() + reply.upstreams().size();
        return items <= MAX_UNCOMPRESSED_ITEMS ? reply : SyncReplyCompression.compress(codec, reply);
    }

    private static boolean hasFleetDelta(SyncRequest request, PublishedState state) {
        return state.fleet().version() == request.fleetVersion()
                || state.fleet().hasDeltaSince(request.fleetVersion());
    }

    private DeflatedSyncReply fullReply(PublishedState state) {
        long revision = state.settings().current().revision();
        long fleetVersion = state.fleet().version();
        CachedFullReply cached = cachedFullReply.get();
        if (cached != null && cached.revision() == revision && cached.fleetVersion() == fleetVersion) {
            return cached.reply();
        }
        SyncReply reply = new SyncReply(
                revision,
                true,
                state.settings().current().toEdits(),
                fleetVersion,
                List.copyOf(state.fleet().upstreams().values()),
                List.of(),
                0,
                List.of(),
                "",
                0);
        DeflatedSyncReply deflated = SyncReplyCompression.compress(codec, reply);
        cachedFullReply.set(new CachedFullReply(revision, fleetVersion, deflated));
        return deflated;
    }

    private static DeflatedSyncReply withHeader(
            DeflatedSyncReply fullReply,
            long confirmationAgeMillis,
            List<PowerGrant> grants,
            String leaderAddress,
            int entryCount) {
        SyncReply header = fullReply.header();
        return new DeflatedSyncReply(
                new SyncReply(
                        header.revision(),
                        header.full(),
                        header.edits(),
                        header.fleetVersion(),
                        header.upstreams(),
                        header.removedUpstreamIds(),
                        confirmationAgeMillis,
                        grants,
                        leaderAddress,
                        entryCount),
                fullReply.inflatedBodyBytes(),
                fullReply.deflatedBody());
    }
}

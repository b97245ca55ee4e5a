package org.wagtailcart.coordination;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Puts the parts of a snapshot together. */
final class SnapshotReceiver {
    private RaftMessage.@Nullable SnapshotChunk first;
    private byte[] bytes = {};
    private int receivedBytes;

    /** Takes a part; returns the snapshot once it is complete. Parts must come in order, others are dropped. */
    Optional<Snapshot> accept(RaftMessage.SnapshotChunk chunk) {
        RaftMessage.SnapshotChunk current = first;
        if (current == null || current.index() != chunk.index() || current.term() != chunk.term()) {
            first = chunk;
            bytes = new byte[chunk.totalBytes()];
            receivedBytes = 0;
        }
        if (chunk.offset() == receivedBytes && chunk.bytes().length <= bytes.length - receivedBytes) {
            System.arraycopy(chunk.bytes(), 0, bytes, receivedBytes, chunk.bytes().length);
            receivedBytes += chunk.bytes().length;
        }
        if (receivedBytes < bytes.length) {
            return Optional.empty();
        }
        Snapshot snapshot = new Snapshot(chunk.index(), chunk.lastTerm(), chunk.timeMillis(), chunk.members(), bytes);
        first = null;
        bytes = new byte[0];
        receivedBytes = 0;
        return Optional.of(snapshot);
    }

    /** Returns the position of the next part. */
    int nextOffset() {
        return receivedBytes;
    }
}

package org.wagtailcart.coordination;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Assembles a snapshot from its chunks. */
final class SnapshotReceiver {
    private RaftMessage.@Nullable SnapshotChunk first;
    private byte[] bytes = {};
    private int receivedBytes;

    /** Adds a chunk; returns the snapshot once it is complete. Chunks that arrive out of order are dropped. */
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

    /** Returns the offset of the next chunk. */
    int nextOffset() {
        return receivedBytes;
    }
}

package org.wagtailcart.routes;

import java.util.List;
import org.wagtailcart.wire.MessageCodec;

/** Replicated state machine that stores the routing table in force. */
public final class RoutesState {
    private static final int SNAPSHOT_TYPE = 800;
    private static final MessageCodec SNAPSHOT_CODEC = new MessageCodec(List.of(RoutesMessages.TYPES));

    private ReplaceRoutes current = new ReplaceRoutes(RouteTable.EMPTY, new byte[0]);

    /** Applies a command; only a table with a higher version replaces the one in force. */
    public RoutesReplaced apply(ReplaceRoutes command) {
        boolean higher = command.table().version() > current.table().version();
        if (higher) {
            current = command;
        }
        return new RoutesReplaced(current.table().version(), higher);
    }

    /** Returns the table in force. */
    public RouteTable table() {
        return current.table();
    }

    /** Returns the version and the operator's original text of the table in force. */
    public RoutesDocument document() {
        return new RoutesDocument(current.table().version(), current.document());
    }

    /** Returns the encoded state. */
    public byte[] snapshot() {
        return SNAPSHOT_CODEC.encode(current);
    }

    /** Replaces the state with a snapshot; an empty array stands for no table. */
    public void restore(byte[] snapshot) {
        current = snapshot.length == 0
                ? new ReplaceRoutes(RouteTable.EMPTY, new byte[0])
                : (ReplaceRoutes) SNAPSHOT_CODEC.decode(SNAPSHOT_TYPE, snapshot);
    }
}

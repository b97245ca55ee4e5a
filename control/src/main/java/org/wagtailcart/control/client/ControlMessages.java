package org.wagtailcart.control.client;

import java.util.List;
import org.wagtailcart.wire.MessageType;

/** Type numbers of the messages between processes and control members, 500 to 599. */
public final class ControlMessages {
    public static final List<MessageType> TYPES = List.of(
            new MessageType(500, SyncRequest.class),
            new MessageType(501, SyncReply.class),
            new MessageType(502, CommandRequest.class),
            new MessageType(503, CommandReply.class),
            new MessageType(504, DeflatedSyncReply.class),
            new MessageType(505, LeaderHint.class),
            new MessageType(506, CommandError.class),
            new MessageType(507, SyncBatch.class),
            new MessageType(508, SyncBatchReply.class),
            new MessageType(509, ProcessesRequest.class),
            new MessageType(510, ProcessesReply.class),
            new MessageType(511, SyncBody.class),
            new MessageType(512, WatchRequest.class),
            new MessageType(513, WatchReply.class),
            new MessageType(514, RecordOrigins.class),
            new MessageType(515, OriginsRecorded.class),
            new MessageType(516, FindOrigin.class),
            new MessageType(517, FoundOrigin.class));

    private ControlMessages() {}
}

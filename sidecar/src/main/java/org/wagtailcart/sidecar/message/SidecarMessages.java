package org.wagtailcart.sidecar.message;

import java.util.List;
import org.wagtailcart.wire.MessageType;

/** Type numbers of the messages between entries and sidecars, 600 to 699. */
public final class SidecarMessages {
    public static final List<MessageType> TYPES = List.of(
            new MessageType(600, AttemptRequest.class),
            new MessageType(601, AttemptStarted.class),
            new MessageType(602, AttemptChunk.class),
            new MessageType(603, AttemptEnd.class),
            new MessageType(604, AttemptQuery.class),
            new MessageType(605, AttemptStatus.class));

    private SidecarMessages() {}
}

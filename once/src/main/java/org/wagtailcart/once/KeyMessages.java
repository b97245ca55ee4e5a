package org.wagtailcart.once;

import java.util.List;
import org.wagtailcart.wire.MessageType;

/** Type numbers of the key messages, 300 to 399. */
public final class KeyMessages {
    public static final List<MessageType> TYPES = List.of(
            new MessageType(300, ReserveKey.class),
            new MessageType(301, CompleteKey.class),
            new MessageType(302, ReleaseKey.class),
            new MessageType(303, MarkKeyUnknown.class),
            new MessageType(304, LookupKey.class),
            new MessageType(305, KeyResult.class));

    private KeyMessages() {}
}

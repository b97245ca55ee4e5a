package org.wagtailcart.usage;

import java.util.List;
import org.wagtailcart.wire.MessageType;

/** Type numbers of the commands about usage windows and their results, 900 to 919. */
public final class UsageMessages {
    public static final List<MessageType> TYPES = List.of(
            new MessageType(900, CloseUsageWindow.class),
            new MessageType(901, MarkUsageReported.class),
            new MessageType(902, ClosedUsageWindow.class));

    private UsageMessages() {}
}

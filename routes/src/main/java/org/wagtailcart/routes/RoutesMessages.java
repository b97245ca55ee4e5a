package org.wagtailcart.routes;

import java.util.List;
import org.wagtailcart.wire.MessageType;

/** Type numbers of the messages about routing tables, 600 to 699. */
public final class RoutesMessages {
    public static final List<MessageType> TYPES = List.of(
            new MessageType(600, ReplaceRoutes.class),
            new MessageType(601, RoutesReplaced.class),
            new MessageType(602, ReadRoutes.class),
            new MessageType(603, RoutesDocument.class));

    private RoutesMessages() {}
}

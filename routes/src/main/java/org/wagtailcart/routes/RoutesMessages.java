package org.wagtailcart.routes;

import java.util.List;
import org.wagtailcart.wire.MessageType;

/** Message types of the routing table, numbers 800 to 899. */
public final class RoutesMessages {
    public static final List<MessageType> TYPES = List.of(
            new MessageType(800, ReplaceRoutes.class),
            new MessageType(801, RoutesReplaced.class),
            new MessageType(802, ReadRoutes.class),
            new MessageType(803, RoutesDocument.class));

    private RoutesMessages() {}
}

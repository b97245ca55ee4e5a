package org.wagtailcart.fleet;

import java.util.List;
import org.wagtailcart.wire.MessageType;

/** Type numbers of the fleet messages, 400 to 499. */
public final class FleetMessages {
    public static final List<MessageType> TYPES = List.of(
            new MessageType(400, RegisterSidecar.class),
            new MessageType(401, RegisterSidecarResult.class),
            new MessageType(402, SetLifecycle.class),
            new MessageType(403, IssueOrder.class),
            new MessageType(404, BeginOrder.class),
            new MessageType(405, FinishOrder.class),
            new MessageType(406, FleetResult.class));

    private FleetMessages() {}
}

package org.wagtailcart.control.orders;

import java.util.List;
import org.wagtailcart.wire.MessageType;

/** Type numbers of the messages about the order lease, 520 to 539. */
public final class OrderLeaseMessages {
    public static final List<MessageType> TYPES =
            List.of(new MessageType(520, AcquireOrderLease.class), new MessageType(521, OrderLease.class));

    private OrderLeaseMessages() {}
}

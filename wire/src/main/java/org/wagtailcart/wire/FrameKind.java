package org.wagtailcart.wire;

import java.util.Arrays;
import java.util.Optional;

/** Kind of a frame; the number is its encoding on the wire. */
enum FrameKind {
    REQUEST(1),
    EVENT(2),
    END(3),
    CANCEL(4),
    ERROR(5),
    PING(6),
    PONG(7);

    private final int number;

    FrameKind(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }

    static Optional<FrameKind> ofNumber(int number) {
        return Arrays.stream(values()).filter(kind -> kind.number == number).findFirst();
    }
}

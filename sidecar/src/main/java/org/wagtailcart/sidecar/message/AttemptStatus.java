package org.wagtailcart.sidecar.message;

import org.jspecify.annotations.Nullable;
import org.wagtailcart.once.RecordedAnswer;

/**
 * Answer to {@link AttemptQuery}.
 *
 * @param state what became of the attempt
 * @param answer the upstream's answer when DONE
 */
public record AttemptStatus(State state, @Nullable RecordedAnswer answer) {
    /** What became of an attempt. */
    public enum State {
        /** Being sent or waiting for the upstream's answer. */
        RUNNING,
        /** The upstream answered. */
        DONE,
        /** It was not sent and will not be sent. */
        NOT_SENT,
        /** It may have been sent; the outcome is not known. */
        UNKNOWN
    }
}

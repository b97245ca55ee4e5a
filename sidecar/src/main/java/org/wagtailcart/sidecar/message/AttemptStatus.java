package org.wagtailcart.sidecar.message;

import org.jspecify.annotations.Nullable;
import org.wagtailcart.once.RecordedResponse;

/**
 * Answer to {@link AttemptQuery}.
 *
 * @param state what became of the attempt
 * @param response the upstream's answer when DONE
 */
public record AttemptStatus(State state, @Nullable RecordedResponse response) {
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

package org.wagtailcart.sidecar.message;

import org.jspecify.annotations.Nullable;
import org.wagtailcart.once.RecordedResponse;

/**
 * Reply to {@link AttemptQuery}.
 *
 * @param state state of the attempt
 * @param response recorded response of the upstream if the state is DONE, otherwise null
 */
public record AttemptStatus(State state, @Nullable RecordedResponse response) {
    /** State of an attempt. */
    public enum State {
        /** The attempt is queued, being sent, or awaits the upstream's response. */
        RUNNING,
        /** The upstream has sent a complete response. */
        DONE,
        /** The attempt was not sent and will not be sent. */
        NOT_SENT,
        /** The attempt may have been sent; its outcome is not known. */
        UNKNOWN
    }
}

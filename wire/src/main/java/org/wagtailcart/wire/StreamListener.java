package org.wagtailcart.wire;

import org.wagtailcart.common.WagtailcartException;

/**
 * Listener for the replies to one request, called in order. Unless the request is cancelled, the last call is exactly
 * one of {@link #onEnd} and {@link #onFailure}.
 */
public interface StreamListener {
    /** Receives one event of a streamed response. */
    void onEvent(Object event);

    /** Receives the last or only reply. */
    void onEnd(Object response);

    /** Receives the error that ended the exchange; its run state says whether the peer may have acted. */
    void onFailure(WagtailcartException error);
}

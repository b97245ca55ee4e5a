package org.wagtailcart.wire;

import org.wagtailcart.common.WagtailcartException;

/** Receives the answers to one request in order. One of the two last methods is called exactly once, as the last call. */
public interface StreamListener {
    /** Receives one event of the stream. */
    void onEvent(Object event);

    /** Receives the last or only answer. */
    void onEnd(Object response);

    /** Receives the error that ended the exchange; its run state says whether the peer may have acted. */
    void onFailure(WagtailcartException error);
}

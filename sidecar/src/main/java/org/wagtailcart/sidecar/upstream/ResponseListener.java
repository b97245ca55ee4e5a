package org.wagtailcart.sidecar.upstream;

import java.util.List;

/** Callback for an upstream's response, called in order on one thread. */
public interface ResponseListener {
    /** Called with the status and the header lines, name and value alternating. */
    void onStarted(int status, List<String> headers);

    /**
     * Called with the next part of the body.
     *
     * @param events number of server-sent events in it, 0 if the body is not an event stream
     */
    void onChunk(byte[] bytes, int events);
}

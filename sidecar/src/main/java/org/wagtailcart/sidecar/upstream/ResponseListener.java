package org.wagtailcart.sidecar.upstream;

import java.util.List;

/** Receives an upstream's answer, in order, on one thread. */
public interface ResponseListener {
    /** Receives status and header lines, name and value alternating. */
    void onStarted(int status, List<String> headers);

    /**
     * Receives a part of the body.
     *
     * @param events number of events it holds, 0 when the body is no stream of events
     */
    void onChunk(byte[] bytes, int events);
}

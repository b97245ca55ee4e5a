package org.wagtailcart.gateway.report;

import org.wagtailcart.common.RunState;

/** Learns when upstreams begin to run requests. All times are monotonic. Thread safe. */
public interface RunListener {
    /** Ignores all runs. */
    RunListener NONE = new RunListener() {
        @Override
        public PlainRun plainSent(String workspace, String upstreamId, long sentAtMillis) {
            return PlainRun.NONE;
        }

        @Override
        public void streamBegan(String workspace, long beganAtMillis) {}
    };

    /** An attempt of a plain call. Only the first event counts. */
    interface PlainRun {
        /** Ignores the attempt. */
        PlainRun NONE = (state, atMillis) -> {};

        /** Records that the attempt got a response or failed. */
        void ended(RunState state, long atMillis);
    }

    /** Records that a plain call was sent to an upstream; its end must be recorded. */
    PlainRun plainSent(String workspace, String upstreamId, long sentAtMillis);

    /** Records the first event of the response to a request; a continuation of that response is not recorded. */
    void streamBegan(String workspace, long beganAtMillis);
}

package org.wagtailcart.policy.routing;

import java.util.Arrays;
import org.wagtailcart.common.EngineRole;

/** This entry's account of one upstream. */
final class UpstreamLoad {
    static final int PROMPT_SLOT = 0;
    static final int OUTPUT_SLOT = 1;

    final String id;
    final int[] positions = new int[2];
    RoutableUpstream upstream;
    int inFlight;
    /** Prompt work not yet processed, in output-token units. */
    double promptWork;
    /** Output tokens still to come. */
    double outputWork;
    /** Requests of other entries, from the newest report. */
    double foreignRequests;

    long reportMillis;
    /** Moving average of the work of one request here. */
    double workPerRequest;

    UpstreamLoad(RoutableUpstream upstream) {
        this.id = upstream.upstreamId();
        this.upstream = upstream;
        Arrays.fill(positions, -1);
    }

    boolean hasRoom() {
        return inFlight < upstream.maxInFlight();
    }

    EngineRole role() {
        return upstream.role();
    }

    /** Work of other entries, fading out as the report ages. */
    double foreignWork(long nowMillis, long trustMillis) {
        double age = nowMillis - reportMillis;
        double trust = Math.max(0, 1 - age / trustMillis);
        return foreignRequests * workPerRequest * trust;
    }

    void noteRequest(double work) {
        workPerRequest = workPerRequest == 0 ? work : workPerRequest + 0.1 * (work - workPerRequest);
    }
}

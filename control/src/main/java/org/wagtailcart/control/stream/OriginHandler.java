package org.wagtailcart.control.stream;

import org.wagtailcart.common.MillisClock;
import org.wagtailcart.control.client.FindOrigin;
import org.wagtailcart.control.client.FoundOrigin;
import org.wagtailcart.control.client.OriginsRecorded;
import org.wagtailcart.control.client.RecordOrigins;
import org.wagtailcart.policy.stream.StreamOrigin;
import org.wagtailcart.policy.stream.StreamOrigins;

/**
 * Keeps the origins of streams that gateways report to this member, in memory. Each gateway reports to all members, so
 * that the members need no agreement and one of them suffices to find an origin. Thread safe.
 */
public final class OriginHandler {
    private final StreamOrigins origins = new StreamOrigins();
    private final MillisClock clock;

    /** Creates a handler without origins. */
    public OriginHandler(MillisClock clock) {
        this.clock = clock;
    }

    /** Records origins. */
    public synchronized OriginsRecorded record(RecordOrigins request) {
        long nowMillis = clock.nowMillis();
        request.origins()
                .forEach(origin -> origins.record(
                        origin.requestId(),
                        new StreamOrigin(origin.service(), origin.softwareVersion()),
                        nowMillis + origin.validMillis(),
                        nowMillis));
        return new OriginsRecorded(request.origins().size());
    }

    /** Finds an origin. */
    public synchronized FoundOrigin find(FindOrigin request) {
        return origins.find(request.requestId(), clock.nowMillis())
                .map(origin -> new FoundOrigin(true, origin.service(), origin.softwareVersion()))
                .orElse(FoundOrigin.UNKNOWN);
    }

    /** Returns the number of origins that are kept. */
    public synchronized int size() {
        return origins.size();
    }
}

package org.wagtailcart.gateway.stream;

import java.util.Optional;
import org.wagtailcart.gateway.list.UpstreamRegistry;
import org.wagtailcart.gateway.protocol.RequestMetadata;
import org.wagtailcart.policy.stream.StreamOrigin;
import org.wagtailcart.routes.Route;
import org.wagtailcart.routes.TrafficSplit;

/** Decides where a stream that its caller resumes may go on. */
public final class StreamResumption {
    /** What becomes of a request that resumes a stream. */
    public enum Outcome {
        GOES_ON,
        /** Nobody knows its software version. */
        VERSION_UNKNOWN,
        /** No upstream of its version serves, or its route does not lead to its service any more. */
        VERSION_GONE
    }

    /**
     * Decision on a request.
     *
     * @param origin origin of the stream, empty if it is not known
     */
    public record Decision(Outcome outcome, Optional<StreamOrigin> origin) {}

    private final StreamOriginClient origins;
    private final UpstreamRegistry registry;

    /** Creates the decision on the origins and upstreams that a gateway knows. */
    public StreamResumption(StreamOriginClient origins, UpstreamRegistry registry) {
        this.origins = origins;
        this.registry = registry;
    }

    /**
     * Decides on a request that resumes a stream. Waits for the control members if another gateway began the stream. What
     * the host list shows does not tell the version of a stream: the list lags, and another gateway may have read a later
     * one.
     */
    public Decision decide(RequestMetadata metadata, Route route) {
        Optional<StreamOrigin> origin =
                metadata.resumes().isEmpty() ? Optional.empty() : origins.find(metadata.resumes());
        Outcome outcome = origin.filter(known -> !known.softwareVersion().isEmpty())
                .map(known -> isServed(known, route) ? Outcome.GOES_ON : Outcome.VERSION_GONE)
                .orElse(Outcome.VERSION_UNKNOWN);
        return new Decision(outcome, origin);
    }

    private boolean isServed(StreamOrigin origin, Route route) {
        return route.splits().stream().map(TrafficSplit::service).anyMatch(origin.service()::equals)
                && registry.servesVersion(origin.service(), origin.softwareVersion());
    }
}

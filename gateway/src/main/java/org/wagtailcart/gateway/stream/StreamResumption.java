package org.wagtailcart.gateway.stream;

import java.util.Optional;
import org.wagtailcart.gateway.list.UpstreamRegistry;
import org.wagtailcart.gateway.protocol.RequestMetadata;
import org.wagtailcart.policy.stream.StreamOrigin;
import org.wagtailcart.routes.Route;
import org.wagtailcart.routes.TrafficSplit;

/** Decides where a stream that its caller resumes may go on. */
public final class StreamResumption {
    /** Time beyond the timeout of a route after which no stream that began before can be resumed. */
    private static final long HISTORY_MARGIN_MILLIS = 5_000;

    /** How the origin of a stream became known. */
    public enum Source {
        /** A gateway has recorded it. */
        RECORDED,
        /** Its service has had a single software version. */
        SINGLE_VERSION,
        /** It is not known. */
        NONE
    }

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
    public record Decision(Outcome outcome, Source source, Optional<StreamOrigin> origin) {}

    private final StreamOriginClient origins;
    private final UpstreamRegistry registry;

    /** Creates the decision on the origins and upstreams that a gateway knows. */
    public StreamResumption(StreamOriginClient origins, UpstreamRegistry registry) {
        this.origins = origins;
        this.registry = registry;
    }

    /** Decides on a request that resumes a stream. Waits for the control members if another gateway began the stream. */
    public Decision decide(RequestMetadata metadata, Route route) {
        Optional<StreamOrigin> recorded =
                metadata.resumes().isEmpty() ? Optional.empty() : origins.find(metadata.resumes());
        Optional<StreamOrigin> origin = recorded.or(() -> singleOrigin(route));
        Source source =
                recorded.isPresent() ? Source.RECORDED : origin.isPresent() ? Source.SINGLE_VERSION : Source.NONE;
        Outcome outcome = origin.map(known -> isServed(known, route) ? Outcome.GOES_ON : Outcome.VERSION_GONE)
                .orElse(Outcome.VERSION_UNKNOWN);
        return new Decision(outcome, source, origin);
    }

    private Optional<StreamOrigin> singleOrigin(Route route) {
        if (route.splits().size() != 1) {
            return Optional.empty();
        }
        String service = route.splits().get(0).service();
        return registry.onlyVersion(service, route.timeoutMillis() + HISTORY_MARGIN_MILLIS)
                .map(version -> new StreamOrigin(service, version));
    }

    private boolean isServed(StreamOrigin origin, Route route) {
        return route.splits().stream().map(TrafficSplit::service).anyMatch(origin.service()::equals)
                && registry.servesVersion(origin.service(), origin.softwareVersion());
    }
}

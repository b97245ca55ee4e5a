package org.wagtailcart.entry;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.policy.routing.AttemptOutcome;
import org.wagtailcart.policy.routing.RoutableUpstream;
import org.wagtailcart.policy.routing.Router;
import org.wagtailcart.policy.routing.RoutingDecision;
import org.wagtailcart.policy.routing.RoutingRequest;

/**
 * Router that chooses the upstream with the fewest in-flight attempts, then the lowest id, so that routes are
 * predictable.
 */
final class LeastInFlightRouter implements Router {
    private final Map<String, RoutingDecision> routes = new HashMap<>();
    private List<RoutableUpstream> upstreams = List.of();

    /** While true, no upstream is chosen, as with open circuit breakers. */
    volatile boolean breakerOpen;

    @Override
    public void updateUpstreams(List<RoutableUpstream> latest, long nowMillis) {
        upstreams = latest;
    }

    @Override
    public Optional<RoutingDecision> choose(String attemptId, RoutingRequest request, long nowMillis) {
        Optional<RoutingDecision> route = upstreams.stream()
                .filter(upstream -> !breakerOpen)
                .filter(upstream -> upstream.pool().equals(request.pool()))
                .filter(upstream -> !request.excluded().contains(upstream.upstreamId()))
                .filter(upstream -> upstream.role().supportsDecode())
                .filter(upstream -> inFlight(upstream.upstreamId()) < upstream.maxInFlight())
                .min(Comparator.comparingLong((RoutableUpstream upstream) -> inFlight(upstream.upstreamId()))
                        .thenComparing(RoutableUpstream::upstreamId))
                .map(this::routeTo);
        route.ifPresent(chosen -> routes.put(attemptId, chosen));
        return route;
    }

    private RoutingDecision routeTo(RoutableUpstream chosen) {
        Optional<String> prefill = upstreams.stream()
                .filter(upstream -> chosen.role() == EngineRole.DECODE && upstream.role() == EngineRole.PREFILL)
                .map(RoutableUpstream::upstreamId)
                .findFirst();
        return new RoutingDecision(prefill, chosen.upstreamId());
    }

    private long inFlight(String upstreamId) {
        return routes.values().stream()
                .filter(route -> route.upstreamId().equals(upstreamId))
                .count();
    }

    @Override
    public void onFirstToken(String attemptId, long nowMillis) {}

    @Override
    public void onTokens(String attemptId, int tokens, long nowMillis) {}

    @Override
    public void onFinished(String attemptId, AttemptOutcome outcome, long nowMillis) {
        routes.remove(attemptId);
    }

    @Override
    public void onLoadReport(String upstreamId, int running, int queued, long nowMillis) {}
}

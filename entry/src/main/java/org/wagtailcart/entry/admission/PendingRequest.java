package org.wagtailcart.entry.admission;

import java.util.concurrent.Executor;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.UpstreamKind;
import org.wagtailcart.policy.routing.RoutingDecision;
import org.wagtailcart.policy.routing.RoutingRequest;

/**
 * A request that waits for a route.
 *
 * @param attemptId attempt to which the route is assigned
 * @param workspace workspace of the caller
 * @param kind kind of the upstream
 * @param request input of the router
 * @param subjectToAdmission whether the queue limit and early rejection apply; they do not for work that has already
 *     begun
 * @param executor runs the listener
 * @param listener receives exactly one of route and rejection, unless the request is cancelled
 */
public record PendingRequest(
        String attemptId,
        String workspace,
        UpstreamKind kind,
        RoutingRequest request,
        boolean subjectToAdmission,
        Executor executor,
        RouteListener listener) {
    /** Receives the routing decision for a pending request. */
    public interface RouteListener {
        /** Called when a route is assigned to the attempt. */
        void onRoute(RoutingDecision route);

        /** Called when the request is rejected without a route. */
        void onRejected(ResultCode code);
    }

    PoolId pool() {
        return new PoolId(kind, request.pool());
    }

    /**
     * Identifies the pool of a model or service; a model and a service may have the same name.
     *
     * @param kind engine or service
     * @param name model or service name
     */
    record PoolId(UpstreamKind kind, String name) {
        /** Returns the key of the pool in the router and the admission controller. */
        String key() {
            return kind == UpstreamKind.ENGINE ? name : "service:" + name;
        }
    }
}

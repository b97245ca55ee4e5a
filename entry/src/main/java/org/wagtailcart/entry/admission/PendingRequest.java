package org.wagtailcart.entry.admission;

import java.util.concurrent.Executor;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.UpstreamKind;
import org.wagtailcart.policy.routing.RoutingDecision;
import org.wagtailcart.policy.routing.RoutingRequest;

/**
 * A request that wants a route.
 *
 * @param attemptId attempt to account the route to
 * @param kind engine or service
 * @param request what routing knows of it
 * @param subjectToAdmission whether the queue limit and an early refusal apply; they don't for work that has already begun
 * @param executor runs the receiver
 * @param listener receives the route or the refusal, exactly one of them unless cancelled
 */
public record PendingRequest(
        String attemptId,
        UpstreamKind kind,
        RoutingRequest request,
        boolean subjectToAdmission,
        Executor executor,
        RouteListener listener) {
    /** Receives the decision on a waiting request. */
    public interface RouteListener {
        /** A route is accounted to the attempt. */
        void onRoute(RoutingDecision route);

        /** The request was not routed. */
        void onRejected(ResultCode code);
    }

    PoolId pool() {
        return new PoolId(kind, request.pool());
    }

    /**
     * Names a model or service; the two may share a name.
     *
     * @param kind engine or service
     * @param name model or service name
     */
    record PoolId(UpstreamKind kind, String name) {
        /** Returns the name under which routing and admission know the pool. */
        String key() {
            return kind == UpstreamKind.ENGINE ? name : "service:" + name;
        }
    }
}

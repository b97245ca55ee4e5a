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
 * @param early whether the queue limit and an early refusal apply; they don't for work that has already begun
 * @param executor runs the receiver
 * @param receiver receives the route or the refusal, exactly one of them unless cancelled
 */
public record Waiting(
        String attemptId,
        UpstreamKind kind,
        RoutingRequest request,
        boolean early,
        Executor executor,
        Receiver receiver) {
    /** Receives the decision on a waiting request. */
    public interface Receiver {
        /** A route is accounted to the attempt. */
        void onRoute(RoutingDecision route);

        /** The request was not routed. */
        void onRejected(ResultCode code);
    }

    PoolName pool() {
        return new PoolName(kind, request.pool());
    }

    /**
     * Names a model or service; the two may share a name.
     *
     * @param kind engine or service
     * @param name model or service name
     */
    record PoolName(UpstreamKind kind, String name) {
        /** Returns the name under which routing and admission know the pool. */
        String key() {
            return kind == UpstreamKind.ENGINE ? name : "service:" + name;
        }
    }
}

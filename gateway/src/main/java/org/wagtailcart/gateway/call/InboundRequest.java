package org.wagtailcart.gateway.call;

import java.util.List;
import org.wagtailcart.gateway.protocol.RequestMetadata;
import org.wagtailcart.routes.Route;

/**
 * A fully received request of a caller with its route and deadlines.
 *
 * @param metadata metadata parsed from its headers
 * @param method HTTP method
 * @param target path and query as sent by the caller
 * @param headers end-to-end header lines, names and values alternating
 * @param body complete body
 * @param route matched route
 * @param service service selected by the weights of the route
 * @param arrivedMillis monotonic time of its arrival
 * @param callerDeadlineMillis monotonic time of the caller's deadline
 * @param routeDeadlineMillis monotonic time at which the route's timeout expires
 */
public record InboundRequest(
        RequestMetadata metadata,
        String method,
        String target,
        List<String> headers,
        byte[] body,
        Route route,
        String service,
        long arrivedMillis,
        long callerDeadlineMillis,
        long routeDeadlineMillis) {
    /** Returns the monotonic time by which the response must be complete, the earlier of both deadlines. */
    public long deadlineMillis() {
        return Math.min(callerDeadlineMillis, routeDeadlineMillis);
    }
}

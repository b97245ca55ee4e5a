package org.wagtailcart.gateway.call;

import java.util.List;
import org.wagtailcart.gateway.protocol.RequestMetadata;
import org.wagtailcart.routes.Route;

/**
 * A caller's request, read whole.
 *
 * @param metadata what its headers say
 * @param method HTTP method
 * @param target path and query as the caller sent them
 * @param headers header lines that concern both ends, name and value alternating
 * @param body body
 * @param route its route
 * @param service service that the route's weights gave it
 * @param arrivedMillis monotonic time of its arrival
 * @param callerDeadlineMillis monotonic time at which the caller gives up
 * @param routeDeadlineMillis monotonic time at which the route's timeout passes
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
    /** Returns the time by which the response must be complete. */
    public long deadlineMillis() {
        return Math.min(callerDeadlineMillis, routeDeadlineMillis);
    }
}

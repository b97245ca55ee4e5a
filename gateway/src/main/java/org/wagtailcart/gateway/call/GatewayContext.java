package org.wagtailcart.gateway.call;

import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.gateway.list.UpstreamRegistry;
import org.wagtailcart.gateway.protocol.RequestProtocol;
import org.wagtailcart.gateway.send.UpstreamHttpClient;
import org.wagtailcart.gateway.watch.RouteTableWatcher;

/**
 * What all requests of a gateway share.
 *
 * @param protocol names and formats towards upstreams
 * @param registry upstreams and what is in flight
 * @param client HTTP client
 * @param routeWatcher routing table
 * @param retryBudgets retry budgets of the services
 * @param metrics how requests ended
 * @param requestExecutor threads that wait for upstreams
 * @param timer runs short delayed tasks
 * @param clock monotonic clock
 */
public record GatewayContext(
        RequestProtocol protocol,
        UpstreamRegistry registry,
        UpstreamHttpClient client,
        RouteTableWatcher routeWatcher,
        RetryBudgets retryBudgets,
        RequestMetrics metrics,
        Executor requestExecutor,
        ScheduledExecutorService timer,
        MillisClock clock) {
    /** Returns whether requests can be routed: routing table and host list were received. */
    public boolean canRoute() {
        return routeWatcher.routes().table().version() > 0 && registry.hasHostList();
    }
}

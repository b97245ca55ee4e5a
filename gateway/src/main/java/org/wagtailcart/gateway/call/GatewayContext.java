package org.wagtailcart.gateway.call;

import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.gateway.list.UpstreamBook;
import org.wagtailcart.gateway.protocol.RequestProtocol;
import org.wagtailcart.gateway.send.HttpUpstreams;
import org.wagtailcart.gateway.watch.RouteWatch;

/**
 * What all requests of a gateway share.
 *
 * @param protocol names and formats towards upstreams
 * @param book upstreams and what is in flight
 * @param upstreams HTTP client
 * @param watch routing table
 * @param budgets retry budgets of the services
 * @param counters how requests ended
 * @param traffic threads that wait for upstreams
 * @param timer runs short delayed tasks
 * @param clock monotonic clock
 */
public record GatewayContext(
        RequestProtocol protocol,
        UpstreamBook book,
        HttpUpstreams upstreams,
        RouteWatch watch,
        RetryBudgets budgets,
        RequestCounters counters,
        Executor traffic,
        ScheduledExecutorService timer,
        MillisClock clock) {
    /** Returns whether requests can be routed: routing table and host list were received. */
    public boolean knowsRoutes() {
        return watch.routes().table().version() > 0 && book.isListed();
    }
}

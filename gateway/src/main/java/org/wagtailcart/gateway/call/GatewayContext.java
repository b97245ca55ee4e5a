package org.wagtailcart.gateway.call;

import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.gateway.list.UpstreamRegistry;
import org.wagtailcart.gateway.protocol.RequestProtocol;
import org.wagtailcart.gateway.quarantine.EngineCrashDetector;
import org.wagtailcart.gateway.quarantine.PromptQuarantine;
import org.wagtailcart.gateway.report.RunListener;
import org.wagtailcart.gateway.send.UnexpectedResponseLog;
import org.wagtailcart.gateway.send.UpstreamHttpClient;
import org.wagtailcart.gateway.share.WorkspaceLimits;
import org.wagtailcart.gateway.stream.StreamOriginClient;
import org.wagtailcart.gateway.stream.StreamResumption;
import org.wagtailcart.gateway.watch.RouteTableWatcher;

/**
 * Dependencies shared by all calls of a gateway.
 *
 * @param protocol codec for requests and responses
 * @param registry registry of upstreams and in-flight requests
 * @param client HTTP client for upstreams
 * @param unexpectedResponses log of bytes of upstreams that no request waits for
 * @param routeWatcher source of the routing table
 * @param retryBudgets retry budgets of the services
 * @param quarantine prompt segments whose requests are refused
 * @param crashDetector detector of engines that end under a request
 * @param workspaceLimits limits on the workspaces of contended services
 * @param streamOrigins origins of streams that callers may resume
 * @param streamResumption decision on streams that callers resume
 * @param openCalls calls that have not ended
 * @param runs learns when upstreams begin to run requests
 * @param metrics metrics of ended requests and failed attempts
 * @param requestExecutor executor of the blocking calls to upstreams
 * @param timer runs short delayed tasks
 * @param clock monotonic clock
 */
public record GatewayContext(
        RequestProtocol protocol,
        UpstreamRegistry registry,
        UpstreamHttpClient client,
        UnexpectedResponseLog unexpectedResponses,
        RouteTableWatcher routeWatcher,
        RetryBudgets retryBudgets,
        PromptQuarantine quarantine,
        EngineCrashDetector crashDetector,
        WorkspaceLimits workspaceLimits,
        StreamOriginClient streamOrigins,
        StreamResumption streamResumption,
        OpenCalls openCalls,
        RunListener runs,
        RequestMetrics metrics,
        Executor requestExecutor,
        ScheduledExecutorService timer,
        MillisClock clock) {
    /** Returns whether requests can be routed, which requires a routing table and a host list. */
    public boolean canRoute() {
        return routeWatcher.routes().table().version() > 0 && registry.hasHostList();
    }
}

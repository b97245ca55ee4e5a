package org.wagtailcart.gateway.call;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.wagtailcart.gateway.list.Upstream;
import org.wagtailcart.gateway.send.UpstreamRequest;
import org.wagtailcart.gateway.send.UpstreamResponse;

/** Watchdog that cancels an attempt when its upstream becomes unresponsive, so that another upstream can be tried. */
final class ResponseWatchdog implements AutoCloseable {
    private static final long CHECK_MILLIS = 200;

    private final UpstreamRequest request;
    private final ScheduledFuture<?> check;

    ResponseWatchdog(GatewayContext context, Upstream upstream, UpstreamRequest send) {
        this.request = send;
        check = context.timer()
                .scheduleWithFixedDelay(
                        () -> {
                            if (context.registry().isUnresponsive(upstream)) {
                                context.requestExecutor().execute(send::cancel);
                            }
                        },
                        CHECK_MILLIS,
                        CHECK_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Sends the request and waits for the status and headers of the response. */
    UpstreamResponse execute() {
        return request.execute();
    }

    @Override
    public void close() {
        check.cancel(false);
    }
}

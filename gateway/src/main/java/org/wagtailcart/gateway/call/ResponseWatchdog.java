package org.wagtailcart.gateway.call;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.wagtailcart.gateway.list.Upstream;
import org.wagtailcart.gateway.send.UpstreamRequest;
import org.wagtailcart.gateway.send.UpstreamResponse;

/** Watchdog that cancels an attempt when its upstream becomes unresponsive, so that another upstream can be tried. */
final class ResponseWatchdog implements AutoCloseable {
    private static final Logger LOG = System.getLogger(ResponseWatchdog.class.getName());
    private static final long CHECK_MILLIS = 200;

    private final UpstreamRequest request;
    private final ScheduledFuture<?> check;

    ResponseWatchdog(GatewayContext context, Upstream upstream, UpstreamRequest send) {
        this.request = send;
        check = context.timer()
                .scheduleWithFixedDelay(
                        check(
                                () -> context.registry().isUnresponsive(upstream),
                                context.requestExecutor(),
                                send::cancel),
                        CHECK_MILLIS,
                        CHECK_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Returns a check that does not throw, since an executor never repeats a periodic task that has thrown. */
    static Runnable check(BooleanSupplier unresponsive, Executor executor, Runnable cancel) {
        return () -> {
            try {
                if (unresponsive.getAsBoolean()) {
                    executor.execute(cancel);
                }
            } catch (RuntimeException e) {
                LOG.log(Level.WARNING, "check for an unresponsive upstream failed", e);
            }
        };
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

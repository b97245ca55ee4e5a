package org.wagtailcart.gateway.call;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.wagtailcart.gateway.list.Upstream;
import org.wagtailcart.gateway.send.UpstreamResponse;
import org.wagtailcart.gateway.send.UpstreamSend;

/** Gives a send up when its upstream has fallen silent, so that another one can take the request. */
final class SilenceGuard implements AutoCloseable {
    private static final long CHECK_MILLIS = 200;

    private final UpstreamSend send;
    private final ScheduledFuture<?> check;

    SilenceGuard(GatewayContext context, Upstream upstream, UpstreamSend send) {
        this.send = send;
        check = context.timer()
                .scheduleWithFixedDelay(
                        () -> {
                            if (context.book().isSilent(upstream)) {
                                context.traffic().execute(send::cancel);
                            }
                        },
                        CHECK_MILLIS,
                        CHECK_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Sends the request and waits for the head of the answer. */
    UpstreamResponse execute() {
        return send.execute();
    }

    @Override
    public void close() {
        check.cancel(false);
    }
}

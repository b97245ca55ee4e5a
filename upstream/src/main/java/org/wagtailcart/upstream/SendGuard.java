package org.wagtailcart.upstream;

import java.io.IOException;
import java.util.List;
import okhttp3.Interceptor;
import okhttp3.Response;
import org.wagtailcart.common.MillisClock;

/** Tracks whether a request may have reached its upstream, and prevents it from being written late or twice. */
public final class SendGuard {
    private final long sendDeadlineMillis;
    private volatile boolean sent;
    private volatile List<String> retryAfter = List.of();

    public SendGuard(long sendByMillis) {
        this.sendDeadlineMillis = sendByMillis;
    }

    /** Returns whether a byte of the request may have left this process. */
    public boolean sent() {
        return sent;
    }

    /** Returns the values of the response's Retry-After header. */
    public List<String> retryAfter() {
        return retryAfter;
    }

    /** Network interceptor that checks and records the send; it runs between connecting and writing. */
    public static Response intercept(Interceptor.Chain chain, MillisClock clock) throws IOException {
        SendGuard guard = chain.request().tag(SendGuard.class);
        if (guard == null) {
            return chain.proceed(chain.request());
        }
        guard.markSent(clock.nowMillis());
        Response response = chain.proceed(chain.request());
        guard.retryAfter = response.headers("Retry-After");
        // OkHttp retries a request on a 503 response with "Retry-After: 0", whatever its retry setting.
        return response.newBuilder().removeHeader("Retry-After").build();
    }

    private void markSent(long nowMillis) throws IOException {
        if (sent) {
            throw new IOException("the request has already been written");
        }
        if (nowMillis > sendDeadlineMillis) {
            throw new IOException("the send deadline of the request has passed");
        }
        sent = true;
    }
}

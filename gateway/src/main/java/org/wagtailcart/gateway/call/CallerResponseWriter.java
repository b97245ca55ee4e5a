package org.wagtailcart.gateway.call;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ScheduledExecutorService;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.entry.answer.CallerResponse;
import org.wagtailcart.entry.answer.ErrorResponse;

/** Response to a caller, written by any thread; the connection's own thread does the work in order. */
public final class CallerResponseWriter {
    private static final int MILLIS_PER_SECOND = 1_000;

    private final HttpServerExchange exchange;
    private final CallerResponse response;

    /** Creates the response of an exchange that was dispatched; called on the connection's thread. */
    public CallerResponseWriter(HttpServerExchange exchange, ScheduledExecutorService timer) {
        this.exchange = exchange;
        this.response = new CallerResponse(exchange, timer);
    }

    /** Runs an action once when the caller disconnects before the end of the response. */
    public void onDisconnect(Runnable action) {
        exchange.getIoThread().execute(() -> response.onDisconnect(action));
    }

    /** Sends a whole response. */
    public void reply(int status, List<String> headers, byte[] body) {
        exchange.getIoThread().execute(() -> response.send(status, headers, body));
    }

    /** Sends status and headers of a response whose body follows in parts. */
    public void start(int status, List<String> headers) {
        exchange.getIoThread().execute(() -> response.start(status, headers));
    }

    /** Sends a part of the body. */
    public void write(byte[] bytes) {
        exchange.getIoThread().execute(() -> response.write(bytes));
    }

    /** Marks the response as complete. */
    public void end() {
        exchange.getIoThread().execute(response::end);
    }

    /** Breaks the connection, so that the caller sees that the response is not complete. */
    public void abort() {
        exchange.getIoThread().execute(response::abort);
    }

    /**
     * Refuses the request, or breaks off a response that has begun.
     *
     * @param retryAfterMillis time after which the caller should come back, 0 to say nothing
     */
    public void refuse(ResultCode code, RunState runState, boolean repeatable, String text, long retryAfterMillis) {
        exchange.getIoThread().execute(() -> {
            if (response.started()) {
                response.abort();
                return;
            }
            if (retryAfterMillis > 0) {
                String seconds = String.format(Locale.ROOT, "%.2f", (double) retryAfterMillis / MILLIS_PER_SECOND);
                response.setHeader(Headers.RETRY_AFTER_STRING, seconds);
            }
            response.sendError(new ErrorResponse(code, runState, repeatable || runState == RunState.NOT_RUN, text));
        });
    }
}

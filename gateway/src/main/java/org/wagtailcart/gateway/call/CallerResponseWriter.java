package org.wagtailcart.gateway.call;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ScheduledExecutorService;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.entry.answer.CallerResponse;
import org.wagtailcart.entry.answer.ErrorResponse;

/**
 * Thread-safe writer of the response to a caller. All operations run in order on the I/O thread of the connection. An
 * operation that fails closes the connection, because the caller would otherwise wait until its own timeout.
 */
public final class CallerResponseWriter {
    private static final Logger LOG = System.getLogger(CallerResponseWriter.class.getName());
    private static final int MILLIS_PER_SECOND = 1_000;

    /**
     * Bytes of a streamed body that may wait for a caller; more than a whole stream of tokens, so that only a caller far
     * behind pauses the upstream. A gateway with 200 such callers holds 50 MB for them.
     */
    private static final long MAX_PENDING_BYTES = 256 << 10;

    private final HttpServerExchange exchange;
    private final CallerResponse response;

    // Guarded by this.
    /** Bytes that were passed to {@link #write} and have not reached the response. */
    private long submittedBytes;
    /** Bytes that wait in the response, as of its latest delivery. */
    private long queuedBytes;

    /** Creates the writer for a dispatched exchange; must be called on the I/O thread of the connection. */
    public CallerResponseWriter(HttpServerExchange exchange, ScheduledExecutorService timer) {
        this(exchange, new CallerResponse(exchange, timer));
    }

    /** Creates the writer of a response; must be called on the I/O thread of the connection. */
    CallerResponseWriter(HttpServerExchange exchange, CallerResponse response) {
        this.exchange = exchange;
        this.response = response;
        response.onDelivery(() -> updatePending(0));
    }

    /** Runs an action once when the caller disconnects before the end of the response. */
    public void onDisconnect(Runnable action) {
        execute(() -> response.onDisconnect(action));
    }

    /** Returns whether the caller has disconnected before the end of the response. */
    public boolean isDisconnected() {
        return response.disconnected();
    }

    /** Sends a complete response. */
    public void reply(int status, List<String> headers, byte[] body) {
        execute(() -> response.send(status, headers, body));
    }

    /** Sends the status and headers of a response; the body follows with {@link #write}. */
    public void start(int status, List<String> headers) {
        execute(() -> response.start(status, headers));
    }

    /**
     * Sends a chunk of the body. Blocks while too many bytes wait for the caller, so that no more is read from the
     * upstream; the disconnect of a caller that reads nothing ends that.
     */
    public void write(byte[] bytes) {
        if (!awaitSpace(bytes.length)) {
            return;
        }
        execute(() -> {
            response.write(bytes);
            updatePending(bytes.length);
        });
    }

    /** Waits until a chunk may be submitted, and counts it; returns false if the response is closed. */
    private synchronized boolean awaitSpace(int bytes) {
        try {
            while (submittedBytes + queuedBytes >= MAX_PENDING_BYTES && !response.disconnected()) {
                wait();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            abort();
            return false;
        }
        submittedBytes += bytes;
        return !response.disconnected();
    }

    /** Called on the I/O thread after bytes have reached the response or the connection, or the response has closed. */
    private synchronized void updatePending(int receivedBytes) {
        submittedBytes -= receivedBytes;
        queuedBytes = response.queuedBytes();
        notifyAll();
    }

    /** Marks the response as complete. */
    public void end() {
        execute(response::end);
    }

    /** Closes the connection, so that the caller observes an incomplete response. */
    public void abort() {
        execute(response::abort);
    }

    /**
     * Sends an error response, or aborts the response if it has already started.
     *
     * @param retryAfterMillis time after which the caller should retry, 0 for no Retry-After header
     */
    public void refuse(ResultCode code, RunState runState, boolean retryable, String message, long retryAfterMillis) {
        refuse(code, runState, retryable, message, retryAfterMillis, List.of());
    }

    /**
     * Sends an error response with additional header lines, or aborts the response if it has already started.
     *
     * @param retryAfterMillis time after which the caller should retry, 0 for no Retry-After header
     * @param headers additional header lines, names and values alternating
     */
    public void refuse(
            ResultCode code,
            RunState runState,
            boolean retryable,
            String message,
            long retryAfterMillis,
            List<String> headers) {
        execute(() -> {
            if (response.started()) {
                response.abort();
                return;
            }
            if (retryAfterMillis > 0) {
                String seconds = String.format(Locale.ROOT, "%.2f", (double) retryAfterMillis / MILLIS_PER_SECOND);
                response.setHeader(Headers.RETRY_AFTER_STRING, seconds);
            }
            for (int i = 0; i < headers.size(); i += 2) {
                response.setHeader(headers.get(i), headers.get(i + 1));
            }
            response.sendError(new ErrorResponse(code, runState, retryable || runState == RunState.NOT_RUN, message));
        });
    }

    private void execute(Runnable operation) {
        exchange.getIoThread().execute(() -> {
            try {
                operation.run();
            } catch (RuntimeException e) {
                LOG.log(Level.ERROR, "response to a caller cannot be written", e);
                response.abort();
            }
        });
    }
}

package org.wagtailcart.sidecar;

import java.io.ByteArrayOutputStream;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.once.RecordedResponse;
import org.wagtailcart.sidecar.message.AttemptChunk;
import org.wagtailcart.sidecar.message.AttemptEnd;
import org.wagtailcart.sidecar.message.AttemptRequest;
import org.wagtailcart.sidecar.message.AttemptStarted;
import org.wagtailcart.sidecar.upstream.ResponseListener;
import org.wagtailcart.sidecar.upstream.UpstreamCall;
import org.wagtailcart.wire.Exchange;

/**
 * An attempt in progress in this sidecar: one request from an entry to an upstream. Forwards the upstream's response to
 * the entry and records it for at-most-once calls.
 */
final class Attempt implements ResponseListener {
    private final Exchange exchange;
    private final AttemptRequest request;
    private final long deadlineMillis;
    private final int recordLimitBytes;
    private final ByteArrayOutputStream recordedBody = new ByteArrayOutputStream(0);
    private final Runnable eventCallback;
    private int status;
    private List<String> headers = List.of();
    private long chunks;
    private long sizeBytes;
    private @Nullable UpstreamCall call;
    private @Nullable WagtailcartException abortReason;

    /**
     * Creates an attempt.
     *
     * @param deadlineMillis monotonic time of the caller's deadline
     * @param recordLimitBytes largest response body that is recorded
     * @param onEvent called for each event of a streamed response
     */
    Attempt(Exchange exchange, AttemptRequest request, long deadlineMillis, int recordLimitBytes, Runnable onEvent) {
        this.exchange = exchange;
        this.request = request;
        this.deadlineMillis = deadlineMillis;
        this.recordLimitBytes = request.nonIdempotent() ? recordLimitBytes : 0;
        this.eventCallback = onEvent;
    }

    Exchange exchange() {
        return exchange;
    }

    AttemptRequest request() {
        return request;
    }

    long deadlineMillis() {
        return deadlineMillis;
    }

    /** Attaches the upstream call, and cancels it immediately if the attempt was aborted before. */
    synchronized void attach(UpstreamCall upstreamCall) {
        call = upstreamCall;
        if (abortReason != null) {
            upstreamCall.cancel();
        }
    }

    /**
     * Aborts the attempt and its upstream call; the first reason is kept. Not for attempts that must run at most once.
     */
    synchronized void abort(WagtailcartException reason) {
        if (abortReason == null) {
            abortReason = reason;
        }
        if (call != null) {
            call.cancel();
        }
    }

    /** Returns the reason of the abort, or null if the attempt was not aborted. */
    synchronized @Nullable WagtailcartException abortReason() {
        return abortReason;
    }

    @Override
    public void onStarted(int responseStatus, List<String> responseHeaders) {
        status = responseStatus;
        headers = responseHeaders;
        exchange.send(new AttemptStarted(request.attemptId(), responseStatus, responseHeaders));
    }

    @Override
    public void onChunk(byte[] bytes, int events) {
        exchange.send(new AttemptChunk(request.attemptId(), chunks, bytes));
        chunks++;
        sizeBytes += bytes.length;
        if (sizeBytes <= recordLimitBytes) {
            recordedBody.writeBytes(bytes);
        }
        for (int i = 0; i < events; i++) {
            eventCallback.run();
        }
    }

    /** Returns the response for the attempt ledger; the body is left out if it exceeds the record limit. */
    RecordedResponse recordedResponse() {
        boolean kept = sizeBytes <= recordLimitBytes;
        return new RecordedResponse(status, headers, kept ? recordedBody.toByteArray() : new byte[0], kept);
    }

    /**
     * Ends the exchange with the chunk count and size of the body.
     *
     * @param running requests running at the upstream
     * @param queued requests queued for the upstream
     */
    void finish(int running, int queued) {
        exchange.finish(new AttemptEnd(request.attemptId(), chunks, sizeBytes, running, queued));
    }
}

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

/** One request of an entry while this sidecar works on it. It passes the upstream's answer on and keeps a copy. */
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
     * @param recordLimitBytes largest body that is kept
     * @param onEvent called for each event of a stream
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

    /** Attaches the call; it is cancelled at once when the attempt was cut before. */
    synchronized void attach(UpstreamCall upstreamCall) {
        call = upstreamCall;
        if (abortReason != null) {
            upstreamCall.cancel();
        }
    }

    /** Gives the attempt up for the given reason. Not for attempts that must run at most once. */
    synchronized void abort(WagtailcartException reason) {
        if (abortReason == null) {
            abortReason = reason;
        }
        if (call != null) {
            call.cancel();
        }
    }

    /** Returns why the attempt was given up; null when it was not. */
    synchronized @Nullable WagtailcartException abortReason() {
        return abortReason;
    }

    @Override
    public void onStarted(int answerStatus, List<String> answerHeaders) {
        status = answerStatus;
        headers = answerHeaders;
        exchange.send(new AttemptStarted(request.attemptId(), answerStatus, answerHeaders));
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

    /** Returns the answer as kept for repeats. */
    RecordedResponse recordedResponse() {
        boolean kept = sizeBytes <= recordLimitBytes;
        return new RecordedResponse(status, headers, kept ? recordedBody.toByteArray() : new byte[0], kept);
    }

    /** Ends the exchange with the counts of the body. */
    void finish(int running, int queued) {
        exchange.finish(new AttemptEnd(request.attemptId(), chunks, sizeBytes, running, queued));
    }
}

package org.wagtailcart.entry.call;

import java.io.ByteArrayOutputStream;
import java.util.List;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.entry.answer.CallerResponse;
import org.wagtailcart.entry.attempt.ResumableEventStream;
import org.wagtailcart.entry.request.HttpRequestHead;

/** Forwarder of the responses of successive attempts to the caller as one response. */
final class ResponseForwarder {
    /**
     * Size up to which a non-streamed response is buffered until its counts are validated, so that a failed attempt can
     * still be retried.
     */
    private static final int MAX_BUFFERED_BYTES = 1 << 20;

    private static final List<String> STREAM_HEADERS =
            List.of("Content-Type", "text/event-stream", "Cache-Control", "no-cache");

    private final CallerResponse response;
    private final boolean streamRequested;
    private final boolean fromEngine;
    private final ResumableEventStream events = new ResumableEventStream();
    private ByteArrayOutputStream buffered = new ByteArrayOutputStream();
    private List<String> headers = List.of();
    private int status;
    private boolean eventStreamStarted;

    ResponseForwarder(CallerResponse response, boolean streamRequested, boolean fromEngine) {
        this.response = response;
        this.streamRequested = streamRequested;
        this.fromEngine = fromEngine;
    }

    /** Starts an attempt and discards the undelivered data of an earlier one. */
    void startAttempt(String attemptId) {
        events.startAttempt(attemptId);
        buffered = new ByteArrayOutputStream();
    }

    /** Returns the number of tokens delivered. */
    long deliveredTokens() {
        return events.deliveredTokens();
    }

    /**
     * Returns whether another attempt can provide the response or the rest of it. Only an event stream can be continued,
     * since its events are indexed; the body of any other response that has started cannot.
     */
    boolean resumable() {
        return !response.started() || eventStreamStarted;
    }

    /**
     * Accepts status and headers of an attempt.
     *
     * @throws WagtailcartException when the attempt failed and another engine may succeed
     */
    void onStarted(int upstreamStatus, List<String> upstreamHeaders) {
        if (fromEngine && (upstreamStatus >= 500 || upstreamStatus == 429)) {
            throw new WagtailcartException(
                    upstreamStatus == 429 || upstreamStatus == 503
                            ? ResultCode.UPSTREAM_REFUSED
                            : ResultCode.UPSTREAM_FAILED,
                    RunState.MAY_HAVE_RUN,
                    "engine returned status " + upstreamStatus);
        }
        if (response.started() && upstreamStatus != 200) {
            throw new WagtailcartException(
                    ResultCode.UPSTREAM_FAILED, "engine returned status " + upstreamStatus + " for a resumed stream");
        }
        status = upstreamStatus;
        headers = HttpRequestHead.endToEndHeaders(upstreamHeaders);
    }

    /**
     * Accepts a chunk of the body.
     *
     * @throws WagtailcartException when an event is faulty, after the events before it were delivered
     */
    void onBytes(byte[] bytes) {
        if (streaming()) {
            deliverEvents(events.accept(bytes));
            events.throwFault();
        } else if (response.started()) {
            response.write(bytes);
        } else {
            buffer(bytes);
        }
    }

    /**
     * Accepts the end of an attempt whose counts match, and ends the response.
     *
     * @throws WagtailcartException with {@link ResultCode#STREAM_INCOMPLETE} when the stream is incomplete
     */
    void onComplete() {
        if (streaming()) {
            deliverEvents(events.finish());
            response.end();
        } else if (response.started()) {
            response.end();
        } else {
            response.send(status, headers, buffered.toByteArray());
        }
    }

    private boolean streaming() {
        return streamRequested && status == 200;
    }

    private void deliverEvents(byte[] bytes) {
        if (bytes.length > 0) {
            response.start(200, STREAM_HEADERS);
            eventStreamStarted = true;
            response.write(bytes);
        }
    }

    private void buffer(byte[] bytes) {
        buffered.writeBytes(bytes);
        if (buffered.size() > MAX_BUFFERED_BYTES) {
            response.start(status, headers);
            response.write(buffered.toByteArray());
            buffered = new ByteArrayOutputStream();
        }
    }
}

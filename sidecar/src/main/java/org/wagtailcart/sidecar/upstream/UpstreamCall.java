package org.wagtailcart.sidecar.upstream;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.EOFException;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Headers;
import okhttp3.Response;
import okio.Buffer;
import okio.BufferedSource;
import org.wagtailcart.common.HopByHopHeaders;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.upstream.SendGuard;

/** A prepared HTTP request to an upstream; it can be run once and cancelled from another thread. */
public final class UpstreamCall {
    /** Size from which the buffered part of a body is forwarded. */
    private static final int CHUNK_BYTES = 16 << 10;
    /** Limit on the lines of one event; an engine in trouble may send an event without end. */
    private static final long MAX_EVENT_BYTES = 1 << 20;
    /** Statuses with which an engine rejects a request before running it. */
    private static final Set<Integer> ENGINE_REJECTION_STATUSES = Set.of(429, 503);

    private final Call call;
    private final SendGuard guard;
    private final String requestId;
    private final boolean completion;
    private final long resumeFrom;
    private final UpstreamOptions options;
    private volatile boolean headReceived;

    /**
     * Creates a call.
     *
     * @param completion whether the response must contain the request id
     * @param resumeFrom index of the first event of a streamed response
     */
    UpstreamCall(
            Call call,
            SendGuard guard,
            String requestId,
            boolean completion,
            long resumeFrom,
            UpstreamOptions options) {
        this.call = call;
        this.guard = guard;
        this.requestId = requestId;
        this.completion = completion;
        this.resumeFrom = resumeFrom;
        this.options = options;
    }

    /** Cancels the call and closes its connection. */
    public void cancel() {
        call.cancel();
    }

    /** Returns whether a byte of the request may have left this process. */
    public boolean sent() {
        return guard.sent();
    }

    /**
     * Sends the request and forwards the response to the listener; returns when it is complete and validated.
     *
     * @throws WagtailcartException if there is no complete response; its run state is NOT_RUN only if no byte of the
     *     request left this process or an engine rejected the request
     */
    public void run(ResponseListener listener) {
        try (Response response = call.execute()) {
            headReceived = true;
            checkHead(response);
            listener.onStarted(response.code(), headerLines(response.headers()));
            response.body().source().timeout().timeout(options.idleTimeoutMillis(), TimeUnit.MILLISECONDS);
            if (completion && isEventStream(response)) {
                forwardEvents(response.body().source(), listener);
            } else {
                forwardBytes(response.body().source(), listener);
            }
        } catch (IOException e) {
            throw failure(e);
        } finally {
            // Closes the connection if the response was not read to its end.
            call.cancel();
        }
    }

    private void checkHead(Response response) {
        if (!completion) {
            return;
        }
        if (ENGINE_REJECTION_STATUSES.contains(response.code())) {
            throw new WagtailcartException(
                    ResultCode.UPSTREAM_REFUSED, "engine rejected the request with status " + response.code());
        }
        String echoed = response.header(UpstreamClient.REQUEST_ID);
        if (!requestId.equals(echoed)) {
            throw new WagtailcartException(
                    ResultCode.ANSWER_MISMATCH, "response has request id " + echoed + " instead of " + requestId);
        }
    }

    private void forwardEvents(BufferedSource source, ResponseListener listener) throws IOException {
        EventStreamValidator validator = new EventStreamValidator(requestId, resumeFrom);
        Buffer batch = new Buffer();
        int events = 0;
        while (!source.exhausted()) {
            String event = readEvent(source);
            if (validator.accept(event)) {
                batch.writeUtf8(event).writeUtf8("\n");
                events++;
            }
            if (batch.size() >= CHUNK_BYTES || source.getBuffer().size() == 0) {
                flush(batch, events, listener);
                events = 0;
            }
        }
        flush(batch, events, listener);
        if (!validator.endMarkerSeen()) {
            throw new WagtailcartException(ResultCode.STREAM_INCOMPLETE, "event stream ended without its end marker");
        }
    }

    /** Reads the lines of the next event, up to the empty line at its end. */
    private static String readEvent(BufferedSource source) throws IOException {
        StringBuilder event = new StringBuilder();
        String line = source.readUtf8LineStrict(MAX_EVENT_BYTES);
        while (!line.isEmpty()) {
            event.append(line).append('\n');
            if (event.length() > MAX_EVENT_BYTES) {
                throw new WagtailcartException(
                        ResultCode.RESPONSE_TOO_LARGE,
                        "an event of the stream does not end within " + MAX_EVENT_BYTES + " bytes");
            }
            line = source.readUtf8LineStrict(MAX_EVENT_BYTES);
        }
        return event.toString();
    }

    private static void flush(Buffer batch, int events, ResponseListener listener) {
        if (batch.size() > 0) {
            listener.onChunk(batch.readByteArray(), events);
        }
    }

    private void forwardBytes(BufferedSource source, ResponseListener listener) throws IOException {
        boolean idSeen = !completion;
        byte[] buffer = new byte[CHUNK_BYTES];
        for (int read = source.read(buffer); read >= 0; read = source.read(buffer)) {
            byte[] chunk = Arrays.copyOf(buffer, read);
            idSeen = idSeen || new String(chunk, UTF_8).contains(requestId);
            listener.onChunk(chunk, 0);
        }
        if (!idSeen) {
            throw new WagtailcartException(ResultCode.ANSWER_MISMATCH, "response body does not contain the request id");
        }
    }

    private static boolean isEventStream(Response response) {
        return String.valueOf(response.header("Content-Type")).startsWith("text/event-stream");
    }

    private List<String> headerLines(Headers headers) {
        List<String> lines = new ArrayList<>();
        headers.forEach(header -> {
            if (!HopByHopHeaders.contains(header.getFirst())) {
                lines.add(header.getFirst());
                lines.add(header.getSecond());
            }
        });
        guard.retryAfter().forEach(value -> lines.addAll(List.of("Retry-After", value)));
        return lines;
    }

    private WagtailcartException failure(IOException e) {
        if (!guard.sent()) {
            return new WagtailcartException(
                    ResultCode.UPSTREAM_REFUSED, "request was not sent to the upstream: " + e, e);
        }
        if (call.isCanceled() && !(e instanceof InterruptedIOException)) {
            return new WagtailcartException(ResultCode.CALLER_GONE, "request to the upstream was cancelled", e);
        }
        if (e instanceof InterruptedIOException) {
            return new WagtailcartException(
                    ResultCode.UPSTREAM_TIMEOUT, "upstream sent no data before the timeout: " + e, e);
        }
        ResultCode code = headReceived ? ResultCode.STREAM_INCOMPLETE : ResultCode.UPSTREAM_FAILED;
        String what = e instanceof EOFException ? "response ended early: " : "request to the upstream failed: ";
        return new WagtailcartException(code, RunState.MAY_HAVE_RUN, what + e);
    }
}

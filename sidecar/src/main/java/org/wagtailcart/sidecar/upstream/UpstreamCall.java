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

/** One request to an upstream. */
public final class UpstreamCall {
    private static final int CHUNK_BYTES = 16 << 10;
    private static final long MAX_LINE_BYTES = 1 << 20;
    private static final Set<Integer> ENGINE_REJECTION_STATUSES = Set.of(429, 503);

    private final Call call;
    private final SendGuard guard;
    private final String requestId;
    private final boolean completion;
    private final UpstreamOptions options;
    private volatile boolean headReceived;

    UpstreamCall(Call call, SendGuard guard, String requestId, boolean completion, UpstreamOptions options) {
        this.call = call;
        this.guard = guard;
        this.requestId = requestId;
        this.completion = completion;
        this.options = options;
    }

    /** Gives the call up and closes its connection. */
    public void cancel() {
        call.cancel();
    }

    /** Returns whether a byte of the request may have left this process. */
    public boolean sent() {
        return guard.sent();
    }

    /**
     * Sends the request and passes the answer on; returns when it is complete and checked.
     *
     * @throws WagtailcartException when there is no complete answer; its run state is NOT_RUN only when no byte of the
     *     request left this process or an engine refused it
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
            // The connection is closed when the answer was not read to its end.
            call.cancel();
        }
    }

    private void checkHead(Response response) {
        if (!completion) {
            return;
        }
        if (ENGINE_REJECTION_STATUSES.contains(response.code())) {
            throw new WagtailcartException(
                    ResultCode.UPSTREAM_REFUSED, "engine refused the request with status " + response.code());
        }
        String echoed = response.header(UpstreamClient.REQUEST_ID);
        if (!requestId.equals(echoed)) {
            throw new WagtailcartException(
                    ResultCode.ANSWER_MISMATCH, "answer carries request id " + echoed + " instead of " + requestId);
        }
    }

    private void forwardEvents(BufferedSource source, ResponseListener sink) throws IOException {
        EventStreamValidator check = new EventStreamValidator(requestId);
        Buffer batch = new Buffer();
        int events = 0;
        while (!source.exhausted()) {
            String event = readEvent(source);
            if (check.accept(event)) {
                batch.writeUtf8(event).writeUtf8("\n");
                events++;
            }
            if (batch.size() >= CHUNK_BYTES || source.getBuffer().size() == 0) {
                flush(batch, events, sink);
                events = 0;
            }
        }
        flush(batch, events, sink);
        if (!check.endMarkerSeen()) {
            throw new WagtailcartException(ResultCode.STREAM_INCOMPLETE, "stream ended without its end marker");
        }
    }

    /** Reads the lines up to the empty line that ends an event. */
    private static String readEvent(BufferedSource source) throws IOException {
        StringBuilder event = new StringBuilder();
        String line = source.readUtf8LineStrict(MAX_LINE_BYTES);
        while (!line.isEmpty()) {
            event.append(line).append('\n');
            line = source.readUtf8LineStrict(MAX_LINE_BYTES);
        }
        return event.toString();
    }

    private static void flush(Buffer batch, int events, ResponseListener listener) {
        if (batch.size() > 0) {
            listener.onChunk(batch.readByteArray(), events);
        }
    }

    private void forwardBytes(BufferedSource source, ResponseListener sink) throws IOException {
        boolean idSeen = !completion;
        byte[] buffer = new byte[CHUNK_BYTES];
        for (int read = source.read(buffer); read >= 0; read = source.read(buffer)) {
            byte[] part = Arrays.copyOf(buffer, read);
            idSeen = idSeen || new String(part, UTF_8).contains(requestId);
            sink.onChunk(part, 0);
        }
        if (!idSeen) {
            throw new WagtailcartException(ResultCode.ANSWER_MISMATCH, "answer does not carry its request id");
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
            return new WagtailcartException(ResultCode.UPSTREAM_REFUSED, "request was not sent: " + e, e);
        }
        if (call.isCanceled() && !(e instanceof InterruptedIOException)) {
            return new WagtailcartException(ResultCode.CALLER_GONE, "request was cancelled", e);
        }
        if (e instanceof InterruptedIOException) {
            return new WagtailcartException(ResultCode.UPSTREAM_TIMEOUT, "upstream was silent: " + e, e);
        }
        ResultCode code = headReceived ? ResultCode.STREAM_INCOMPLETE : ResultCode.UPSTREAM_FAILED;
        String what = e instanceof EOFException ? "answer ended early: " : "upstream failed: ";
        return new WagtailcartException(code, RunState.MAY_HAVE_RUN, what + e);
    }
}

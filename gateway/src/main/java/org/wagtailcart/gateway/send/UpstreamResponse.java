package org.wagtailcart.gateway.send;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import okhttp3.Call;
import okhttp3.Response;
import okio.Buffer;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.upstream.ForeignBodyException;
import org.wagtailcart.upstream.ResponseBuffer;

/** Response of an upstream with a streaming body. */
public final class UpstreamResponse implements AutoCloseable {
    private static final int READ_BYTES = 16 << 10;

    private final Response response;
    private final Call call;
    private final List<String> headers;
    private final ConnectionUse connectionUse;
    private final ResponseBuffer buffer;
    private final Consumer<String> foreignBodyListener;
    private boolean complete;

    /**
     * Creates the response of a call whose status and headers have arrived.
     *
     * @param foreignBodyListener receives the reason if the body turns out to contain bytes of another response
     */
    UpstreamResponse(
            Response response,
            Call call,
            List<String> retryAfter,
            ConnectionUse connectionUse,
            ResponseBuffer buffer,
            Consumer<String> foreignBodyListener) {
        this.foreignBodyListener = foreignBodyListener;
        this.connectionUse = connectionUse;
        this.buffer = buffer;
        this.response = response;
        this.call = call;
        this.headers = headerLines(response, retryAfter);
    }

    /** Returns header lines with those of Retry-After, which the HTTP client does not see. */
    static List<String> headerLines(Response response, List<String> retryAfter) {
        List<String> lines = new ArrayList<>();
        response.headers().forEach(header -> lines.addAll(List.of(header.getFirst(), header.getSecond())));
        retryAfter.forEach(value -> lines.addAll(List.of("Retry-After", value)));
        return lines;
    }

    /** Returns the HTTP status. */
    public int status() {
        return response.code();
    }

    /** Returns how the end of the body is known: {@code chunked}, {@code length} or {@code until-close}. */
    public String framing() {
        if (response.header("Transfer-Encoding") != null) {
            return "chunked";
        }
        return response.header("Content-Length") == null ? "until-close" : "length";
    }

    /** Returns the use of the connection on which the response arrives. */
    public ConnectionUse connectionUse() {
        return connectionUse;
    }

    /** Returns the header lines, names and values alternating. */
    public List<String> headers() {
        return headers;
    }

    /**
     * Reads the available bytes of the body and blocks until there is at least one; returns an empty array at the
     * regular end.
     *
     * @throws WagtailcartException if the body is incomplete or the read timeout expires
     */
    public byte[] read() {
        Buffer buffer = new Buffer();
        try {
            long count = response.body().source().read(buffer, READ_BYTES);
            if (count < 0) {
                end();
            }
            return buffer.readByteArray();
        } catch (IOException e) {
            throw incomplete(e);
        }
    }

    private void end() {
        complete = true;
        connectionUse.responseEnded();
    }

    private WagtailcartException incomplete(IOException e) {
        if (e instanceof ForeignBodyException) {
            foreignBodyListener.accept(String.valueOf(e.getMessage()));
        }
        return new WagtailcartException(
                ResultCode.STREAM_INCOMPLETE, RunState.MAY_HAVE_RUN, "response body is incomplete: " + e);
    }

    /**
     * Reads the complete body.
     *
     * @throws WagtailcartException if the body is incomplete, the read timeout expires, or, with
     *     {@link ResultCode#RESPONSE_TOO_LARGE}, the body does not fit into the buffer for those of all requests
     */
    public byte[] readAll() {
        try {
            byte[] body = buffer.readAll(response.body().source());
            end();
            return body;
        } catch (ResponseBuffer.FullException e) {
            throw new WagtailcartException(
                    ResultCode.RESPONSE_TOO_LARGE, RunState.MAY_HAVE_RUN, String.valueOf(e.getMessage()));
        } catch (IOException e) {
            throw incomplete(e);
        }
    }

    /** Releases the connection, and closes it if the body was not read to its end. */
    @Override
    public void close() {
        if (!complete) {
            call.cancel();
        }
        response.close();
    }
}

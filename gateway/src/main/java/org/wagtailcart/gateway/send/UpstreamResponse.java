package org.wagtailcart.gateway.send;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import okhttp3.Call;
import okhttp3.Response;
import okio.Buffer;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;

/** Answer of an upstream whose body is still to be read. */
public final class UpstreamResponse implements AutoCloseable {
    private static final int READ_BYTES = 16 << 10;

    private final Response response;
    private final Call call;
    private final List<String> headers;
    private final boolean reused;
    private boolean complete;

    UpstreamResponse(Response response, Call call, List<String> retryAfter, boolean reused) {
        this.reused = reused;
        this.response = response;
        this.call = call;
        this.headers = new ArrayList<>();
        response.headers().forEach(header -> headers.addAll(List.of(header.getFirst(), header.getSecond())));
        retryAfter.forEach(value -> headers.addAll(List.of("Retry-After", value)));
    }

    /** Returns the HTTP status. */
    public int status() {
        return response.code();
    }

    /** Returns whether the connection had carried other requests, whose late answers may still arrive on it. */
    public boolean reusedConnection() {
        return reused;
    }

    /** Returns the header lines, name and value alternating. */
    public List<String> headers() {
        return headers;
    }

    /**
     * Reads what has arrived of the body, at least one byte; returns an empty array at its proper end.
     *
     * @throws WagtailcartException when the body breaks off or pauses too long
     */
    public byte[] read() {
        Buffer buffer = new Buffer();
        try {
            long count = response.body().source().read(buffer, READ_BYTES);
            complete = count < 0;
            return buffer.readByteArray();
        } catch (IOException e) {
            throw new WagtailcartException(
                    ResultCode.STREAM_INCOMPLETE, RunState.MAY_HAVE_RUN, "answer broke off: " + e);
        }
    }

    /**
     * Reads the whole body.
     *
     * @throws WagtailcartException when the body breaks off or pauses too long
     */
    public byte[] readAll() {
        Buffer all = new Buffer();
        for (byte[] part = read(); part.length > 0; part = read()) {
            all.write(part);
        }
        return all.readByteArray();
    }

    /** Frees the connection; it is closed when the body was not read to its end. */
    @Override
    public void close() {
        if (!complete) {
            call.cancel();
        }
        response.close();
    }
}

package org.wagtailcart.gateway.send;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.ProtocolException;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Request;
import okhttp3.Response;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.upstream.MergedResponseException;
import org.wagtailcart.upstream.ResponseBuffer;
import org.wagtailcart.upstream.SendGuard;

/** Cancellable HTTP request to an upstream. */
public final class UpstreamRequest {
    /** Limit on the stale pooled connections that are skipped before a new connection is used. */
    private static final int MAX_STALE = 8;

    private final UpstreamHttpClient client;
    private final Request request;
    private final Address address;
    private final UpstreamTimeouts timeouts;
    private final ResponseBuffer buffer;
    private SendGuard guard = new SendGuard(Long.MAX_VALUE);
    private ConnectionUse connectionUse;
    private Call call;
    private boolean cancelled;

    UpstreamRequest(
            UpstreamHttpClient client,
            Request request,
            ConnectionUse connectionUse,
            Address address,
            UpstreamTimeouts timeouts,
            ResponseBuffer buffer) {
        this.client = client;
        this.request = request;
        this.connectionUse = connectionUse;
        this.address = address;
        this.timeouts = timeouts;
        this.buffer = buffer;
        this.call = newCall(false);
    }

    /** Returns the use of the connection of the latest send. */
    public synchronized ConnectionUse connectionUse() {
        return connectionUse;
    }

    /** Cancels the request and closes its connection. */
    public synchronized void cancel() {
        cancelled = true;
        call.cancel();
    }

    /**
     * Sends the request and waits for the status and headers of the response.
     *
     * @throws WagtailcartException if there is no response; its run state is NOT_RUN only if no byte of it was sent
     */
    public UpstreamResponse execute() {
        boolean newConnection = false;
        for (int stale = 0; ; stale++) {
            Call current = nextCall(newConnection);
            try {
                Response response = send(current);
                response.body().source().timeout().timeout(timeouts.readMillis(), TimeUnit.MILLISECONDS);
                return new UpstreamResponse(
                        response,
                        current,
                        guard.retryAfter(),
                        connectionUse(),
                        buffer,
                        reason -> record(UnexpectedResponse.FOREIGN_BODY, reason));
            } catch (StaleConnectionInterceptor.StaleConnectionException e) {
                if (e.reason() == StaleConnectionInterceptor.Reason.UNEXPECTED_BYTES) {
                    record(UnexpectedResponse.IDLE_BYTES, String.valueOf(e.getMessage()));
                }
                newConnection = e.reason().needsNewConnection() || stale >= MAX_STALE;
            } catch (ResponseCheckInterceptor.RejectedException e) {
                throw e.rejection();
            } catch (MergedResponseException e) {
                record(UnexpectedResponse.MERGED_HEAD, String.valueOf(e.getMessage()));
                throw new WagtailcartException(
                        ResultCode.ANSWER_MISMATCH, RunState.MAY_HAVE_RUN, String.valueOf(e.getMessage()));
            } catch (ProtocolException e) {
                record(UnexpectedResponse.INVALID_HEAD, String.valueOf(e.getMessage()));
                throw failure(e);
            } catch (IOException e) {
                throw failure(e);
            }
        }
    }

    /**
     * Sends a call. While OkHttp connects, it throws InterruptedException without declaring it, because it is written
     * in Kotlin.
     */
    private static Response send(Call current) throws IOException {
        try {
            return current.execute();
        } catch (IOException | RuntimeException e) {
            throw e;
        } catch (Exception e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException(e.toString());
        }
    }

    private void record(UnexpectedResponse kind, String reason) {
        ConnectionUse use = connectionUse();
        client.unexpectedResponses().record(kind, use.requestId(), address, use, reason);
    }

    private synchronized Call newCall(boolean newConnection) {
        guard = new SendGuard(Long.MAX_VALUE);
        connectionUse = new ConnectionUse(connectionUse.requestId());
        Request tagged = request.newBuilder()
                .tag(SendGuard.class, guard)
                .tag(ConnectionUse.class, connectionUse)
                .build();
        return client.newCall(tagged, address, newConnection);
    }

    private synchronized Call nextCall(boolean newConnection) {
        if (cancelled) {
            throw new WagtailcartException(ResultCode.CALLER_GONE, RunState.NOT_RUN, "request was cancelled");
        }
        call = newCall(newConnection);
        return call;
    }

    private WagtailcartException failure(IOException e) {
        if (Thread.currentThread().isInterrupted()) {
            return new WagtailcartException(
                    ResultCode.SHUTTING_DOWN,
                    guard.sent() ? RunState.MAY_HAVE_RUN : RunState.NOT_RUN,
                    "interrupted while waiting for an upstream");
        }
        if (!guard.sent()) {
            return new WagtailcartException(ResultCode.CONNECT_FAILED, "request was not sent: " + e, e);
        }
        ResultCode code =
                e instanceof InterruptedIOException ? ResultCode.UPSTREAM_TIMEOUT : ResultCode.UPSTREAM_FAILED;
        return new WagtailcartException(code, RunState.MAY_HAVE_RUN, "no response: " + e);
    }
}

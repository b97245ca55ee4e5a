package org.wagtailcart.gateway.send;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.internal.http.HttpMethod;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.upstream.InternalHttpClients;
import org.wagtailcart.upstream.OneShotBody;
import org.wagtailcart.upstream.ResponseBuffer;
import org.wagtailcart.upstream.SendGuard;

/** HTTP client for upstreams. It never resends a request by itself once a byte of it may have been sent. */
public final class UpstreamHttpClient implements AutoCloseable {
    /** Connect timeout; a host that accepts no connection within this time is down or unreachable. */
    private static final long CONNECT_MILLIS = 500;

    private static final int MAX_IDLE_CONNECTIONS = 128;
    /** Limit on the idle time of a pooled connection; most end earlier, see {@link ConnectionHistory}. */
    private static final long KEEP_IDLE_MILLIS = 15_000;

    private static final long MAX_RESPONSE_BYTES = 4L << 20;
    /** Limit on all response bodies that are being read; a gateway has a heap of 160 MB. */
    private static final long MAX_TOTAL_RESPONSE_BYTES = 32L << 20;

    private final OkHttpClient client;
    /** Client without a connection pool. */
    private final OkHttpClient newConnectionClient;

    private final SuspectUpstreams suspects;
    private final UnexpectedResponseLog unexpectedResponses;
    private final ResponseBuffer responseBuffer = new ResponseBuffer(MAX_RESPONSE_BYTES, MAX_TOTAL_RESPONSE_BYTES);

    /** Creates a client with an empty connection pool. */
    public UpstreamHttpClient(MillisClock clock, UnexpectedResponseLog unexpectedResponses, SuspectUpstreams suspects) {
        this.unexpectedResponses = unexpectedResponses;
        this.suspects = suspects;
        client = InternalHttpClients.builder(
                        new ResponseCheckInterceptor(),
                        new StaleConnectionInterceptor(clock),
                        chain -> SendGuard.intercept(chain, clock))
                .connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, KEEP_IDLE_MILLIS, TimeUnit.MILLISECONDS))
                .connectTimeout(CONNECT_MILLIS, TimeUnit.MILLISECONDS)
                .addInterceptor(UpstreamHttpClient::applyTimeouts)
                .dispatcher(new Dispatcher())
                .build();
        newConnectionClient = client.newBuilder()
                .connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
                .build();
    }

    /**
     * Prepares a request; nothing is sent yet.
     *
     * @param requestId id that the response must bear, empty if it need not bear one
     * @param check decides whether the response belongs to the request
     * @param target path and query
     * @param headers header lines, names and values alternating
     * @throws WagtailcartException with {@link ResultCode#INVALID_ARGUMENT} if it is not a valid HTTP request
     */
    public UpstreamRequest prepare(
            String requestId,
            ResponseCheck check,
            Address address,
            String method,
            String target,
            List<String> headers,
            byte[] body,
            UpstreamTimeouts timeouts) {
        try {
            Request.Builder builder = new Request.Builder()
                    .url(url(address, target))
                    .tag(UpstreamTimeouts.class, timeouts)
                    .tag(ResponseCheck.class, check)
                    // Without this header OkHttp requests a compressed response and decompresses it, which changes the
                    // response.
                    .header("Accept-Encoding", "identity");
            IntStream.range(0, headers.size() / 2)
                    .filter(i -> !headers.get(2 * i).equalsIgnoreCase("Accept-Encoding"))
                    .forEach(i -> builder.addHeader(headers.get(2 * i), headers.get(2 * i + 1)));
            Request request = builder.method(method, bodyOf(method, body)).build();
            return new UpstreamRequest(this, request, new ConnectionUse(requestId), address, timeouts, responseBuffer);
        } catch (IllegalArgumentException e) {
            throw new WagtailcartException(ResultCode.INVALID_ARGUMENT, "not a valid HTTP request: " + e, e);
        }
    }

    /** Returns a call on a pooled or new connection, or always on a new one. */
    Call newCall(Request request, Address upstream, boolean newConnection) {
        OkHttpClient sender = newConnection || suspects.contains(upstream) ? newConnectionClient : client;
        return sender.newCall(request);
    }

    UnexpectedResponseLog unexpectedResponses() {
        return unexpectedResponses;
    }

    /** Returns whether the host at an address is reachable but nothing listens there. Blocks while it connects. */
    public boolean refusesConnections(Address address) {
        try (Socket socket = new Socket()) {
            socket.connect(address.toSocketAddress(), (int) CONNECT_MILLIS);
            return false;
        } catch (ConnectException e) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() {
        client.connectionPool().evictAll();
    }

    private static Response applyTimeouts(okhttp3.Interceptor.Chain chain) throws java.io.IOException {
        UpstreamTimeouts timeouts = chain.request().tag(UpstreamTimeouts.class);
        if (timeouts == null) {
            return chain.proceed(chain.request());
        }
        int headMillis = (int) Math.max(1, Math.min(Integer.MAX_VALUE, timeouts.headersMillis()));
        return chain.withReadTimeout(headMillis, TimeUnit.MILLISECONDS)
                .withWriteTimeout(headMillis, TimeUnit.MILLISECONDS)
                .proceed(chain.request());
    }

    /** Returns the URL of a target. Rejects targets that are not in normal form, because OkHttp would change them. */
    private static HttpUrl url(Address address, String target) {
        HttpUrl url = HttpUrl.parse("http://" + address + target);
        String normalized =
                url == null ? "" : url.encodedPath() + (url.encodedQuery() == null ? "" : "?" + url.encodedQuery());
        if (url == null || !normalized.equals(target)) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT, "target \"" + target + "\" is not an absolute path in normal form");
        }
        return url;
    }

    private static @Nullable RequestBody bodyOf(String method, byte[] body) {
        boolean noBody = body.length == 0 && !HttpMethod.requiresRequestBody(method);
        return noBody ? null : new OneShotBody(body);
    }
}

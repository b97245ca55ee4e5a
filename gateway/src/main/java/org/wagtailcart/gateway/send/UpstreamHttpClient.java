package org.wagtailcart.gateway.send;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
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
import org.wagtailcart.upstream.SendGuard;

/** HTTP client of a gateway. It never repeats a request by itself once a byte of it may have left. */
public final class UpstreamHttpClient implements AutoCloseable {
    /** A host that does not take a connection in this time is down or cut off. */
    private static final long CONNECT_MILLIS = 500;

    private static final int MAX_IDLE_CONNECTIONS = 128;
    /** Shorter than the idle timeouts that upstreams usually have. */
    private static final long KEEP_IDLE_MILLIS = 4_000;

    private final OkHttpClient client;

    /** Creates a client without connections. */
    public UpstreamHttpClient(MillisClock clock) {
        client = InternalHttpClients.builder()
                .connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, KEEP_IDLE_MILLIS, TimeUnit.MILLISECONDS))
                .connectTimeout(CONNECT_MILLIS, TimeUnit.MILLISECONDS)
                .addInterceptor(UpstreamHttpClient::applyTimeouts)
                .addNetworkInterceptor(new StaleConnectionInterceptor())
                .addNetworkInterceptor(chain -> SendGuard.intercept(chain, clock))
                .dispatcher(new Dispatcher())
                .build();
    }

    /**
     * Prepares a request; nothing is sent yet.
     *
     * @param target path and query
     * @param headers header lines, name and value alternating
     * @throws WagtailcartException with {@link ResultCode#INVALID_ARGUMENT} when it is no valid HTTP request
     */
    public UpstreamRequest prepare(
            Address address, String method, String target, List<String> headers, byte[] body, UpstreamTimeouts limits) {
        try {
            Request.Builder builder = new Request.Builder()
                    .url(url(address, target))
                    .tag(UpstreamTimeouts.class, limits)
                    // Without this header OkHttp would ask for a compressed answer and change what the caller gets.
                    .header("Accept-Encoding", "identity");
            IntStream.range(0, headers.size() / 2)
                    .filter(i -> !headers.get(2 * i).equalsIgnoreCase("Accept-Encoding"))
                    .forEach(i -> builder.addHeader(headers.get(2 * i), headers.get(2 * i + 1)));
            Request request = builder.method(method, bodyOf(method, body)).build();
            return new UpstreamRequest(client, request, limits);
        } catch (IllegalArgumentException e) {
            throw new WagtailcartException(ResultCode.INVALID_ARGUMENT, "request cannot be sent by HTTP: " + e, e);
        }
    }

    @Override
    public void close() {
        client.connectionPool().evictAll();
    }

    private static Response applyTimeouts(okhttp3.Interceptor.Chain chain) throws java.io.IOException {
        UpstreamTimeouts limits = chain.request().tag(UpstreamTimeouts.class);
        if (limits == null) {
            return chain.proceed(chain.request());
        }
        int headMillis = (int) Math.max(1, Math.min(Integer.MAX_VALUE, limits.headMillis()));
        return chain.withReadTimeout(headMillis, TimeUnit.MILLISECONDS)
                .withWriteTimeout(headMillis, TimeUnit.MILLISECONDS)
                .proceed(chain.request());
    }

    /** Only targets in normal form are taken: the client would change others on the way. */
    private static HttpUrl url(Address address, String target) {
        HttpUrl url = HttpUrl.parse("http://" + address + target);
        String sent =
                url == null ? "" : url.encodedPath() + (url.encodedQuery() == null ? "" : "?" + url.encodedQuery());
        if (url == null || !sent.equals(target)) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT, "target \"" + target + "\" is not an absolute path in normal form");
        }
        return url;
    }

    private static @Nullable RequestBody bodyOf(String method, byte[] body) {
        boolean none = body.length == 0 && !HttpMethod.requiresRequestBody(method);
        return none ? null : new OneShotBody(body);
    }
}

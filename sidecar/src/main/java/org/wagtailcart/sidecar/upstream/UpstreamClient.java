package org.wagtailcart.sidecar.upstream;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import okhttp3.ConnectionPool;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.internal.http.HttpMethod;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.HopByHopHeaders;
import org.wagtailcart.common.MillisClock;
import org.wagtailcart.common.Priority;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.UpstreamKind;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.fleet.UpstreamView;
import org.wagtailcart.sidecar.message.AttemptRequest;
import org.wagtailcart.upstream.InternalHttpClients;
import org.wagtailcart.upstream.OneShotBody;
import org.wagtailcart.upstream.SendGuard;

/** HTTP client towards the upstreams of a sidecar. It never repeats a request by itself. */
public final class UpstreamClient {
    static final String REQUEST_ID = "X-Request-Id";

    private final OkHttpClient client;
    private final UpstreamOptions options;
    private final MillisClock clock;

    /** Creates a client without connections. */
    public UpstreamClient(UpstreamOptions options, MillisClock clock) {
        this.options = options;
        this.clock = clock;
        // A connection serves one request: an idle one that went silent, or that still carries the late answer to an
        // earlier request, is then never used. The upstream is on the same host, so a new connection costs little.
        client = InternalHttpClients.builder()
                .connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
                .connectTimeout(options.connectTimeoutMillis(), TimeUnit.MILLISECONDS)
                .readTimeout(options.engineApiTimeoutMillis(), TimeUnit.MILLISECONDS)
                .writeTimeout(options.idleTimeoutMillis(), TimeUnit.MILLISECONDS)
                .addNetworkInterceptor(chain -> SendGuard.intercept(chain, clock))
                .build();
    }

    OkHttpClient http() {
        return client;
    }

    MillisClock clock() {
        return clock;
    }

    UpstreamOptions options() {
        return options;
    }

    /**
     * Prepares a call; nothing is sent yet.
     *
     * @param remainingMillis time until the deadline of the request
     * @throws WagtailcartException with {@link ResultCode#INVALID_ARGUMENT} when the request is no valid HTTP request
     */
    public UpstreamCall prepare(UpstreamView upstream, AttemptRequest attempt, long remainingMillis) {
        SendGuard guard = new SendGuard(Long.MAX_VALUE);
        long timeoutMillis = remainingMillis + (attempt.nonIdempotent() ? options.nonIdempotentGraceMillis() : 0);
        boolean completion = isCompletion(upstream, attempt);
        boolean streamed = completion && CompletionFields.isStreamed(attempt.body());
        long headTimeout = streamed ? Math.min(timeoutMillis, headTimeoutMillis(attempt.priority())) : timeoutMillis;
        OkHttpClient callClient = client.newBuilder()
                .readTimeout(Math.max(1, headTimeout), TimeUnit.MILLISECONDS)
                .callTimeout(Math.max(1, timeoutMillis), TimeUnit.MILLISECONDS)
                .build();
        Request request = request(upstream, attempt, guard);
        return new UpstreamCall(callClient.newCall(request), guard, attempt.attemptId(), completion, options);
    }

    /** Returns whether the answer must carry the request id. */
    private static boolean isCompletion(UpstreamView upstream, AttemptRequest attempt) {
        return switch (upstream.kind()) {
            case ENGINE -> attempt.path().endsWith("/completions");
            case SERVICE -> false;
        };
    }

    private long headTimeoutMillis(Priority priority) {
        return priority == Priority.BATCH ? options.batchHeadTimeoutMillis() : options.headTimeoutMillis();
    }

    /**
     * Returns the URL of a request. Only paths in normal form are taken: a path that the client would change could get
     * past the entry's list of non-idempotent calls, or reach an engine's orders.
     */
    private static HttpUrl url(UpstreamView upstream, AttemptRequest attempt) {
        String path = attempt.path();
        String[] parts = path.split("\\?", 2);
        HttpUrl url = path.startsWith("/") ? HttpUrl.parse("http://" + upstream.address() + path) : null;
        if (url == null || !url.encodedPath().equals(parts[0])) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT, "path \"" + path + "\" is not an absolute path in normal form");
        }
        if (upstream.kind() == UpstreamKind.ENGINE && !isAllowedEnginePath(attempt.method(), parts[0])) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT, attempt.method() + " " + parts[0] + " is not open to requests");
        }
        return url;
    }

    /** Orders go through the order executor only. */
    private static boolean isAllowedEnginePath(String method, String path) {
        return path.startsWith("/v1/") || (method.equals("GET") && path.startsWith("/engine/"));
    }

    private static Request request(UpstreamView upstream, AttemptRequest attempt, SendGuard guard) {
        try {
            Request.Builder builder = new Request.Builder()
                    .url(url(upstream, attempt))
                    .tag(SendGuard.class, guard)
                    // Without this header OkHttp would ask for a compressed answer and change what the caller gets.
                    .header("Accept-Encoding", "identity");
            addHeaders(builder, attempt.headers());
            return builder.header(REQUEST_ID, attempt.attemptId())
                    .method(attempt.method(), bodyOf(attempt))
                    .build();
        } catch (IllegalArgumentException e) {
            throw new WagtailcartException(ResultCode.INVALID_ARGUMENT, "request cannot be sent by HTTP: " + e, e);
        }
    }

    private static void addHeaders(Request.Builder builder, List<String> lines) {
        IntStream.range(0, lines.size() / 2)
                .map(i -> 2 * i)
                .filter(i ->
                        !HopByHopHeaders.contains(lines.get(i)) && !lines.get(i).equalsIgnoreCase("host"))
                .filter(i -> !lines.get(i).equalsIgnoreCase("Accept-Encoding"))
                .forEach(i -> builder.addHeader(lines.get(i), lines.get(i + 1)));
    }

    private static @Nullable RequestBody bodyOf(AttemptRequest attempt) {
        if (attempt.body().length == 0 && !HttpMethod.requiresRequestBody(attempt.method())) {
            return null;
        }
        return new OneShotBody(attempt.body());
    }
}

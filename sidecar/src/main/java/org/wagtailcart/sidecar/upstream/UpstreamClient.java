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

/** HTTP client for the upstreams of a sidecar. It never retries a request. */
public final class UpstreamClient {
    static final String REQUEST_ID = "X-Request-Id";

    private final OkHttpClient client;
    private final UpstreamOptions options;
    private final MillisClock clock;

    /** Creates a client with the given timeouts. */
    public UpstreamClient(UpstreamOptions options, MillisClock clock) {
        this.options = options;
        this.clock = clock;
        // Each request uses a new connection, because an idle one may be dead or still carry the late response to an
        // earlier request. The upstream is on the same host, so a new connection costs little.
        client = InternalHttpClients.builder(chain -> SendGuard.intercept(chain, clock))
                .connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
                .connectTimeout(options.connectTimeoutMillis(), TimeUnit.MILLISECONDS)
                .readTimeout(options.engineApiTimeoutMillis(), TimeUnit.MILLISECONDS)
                .writeTimeout(options.idleTimeoutMillis(), TimeUnit.MILLISECONDS)
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
     * Returns a call for the given attempt; nothing is sent yet.
     *
     * @param remainingMillis time until the deadline of the request
     * @throws WagtailcartException with {@link ResultCode#INVALID_ARGUMENT} if the request is not a valid HTTP request
     *     or its path is not allowed
     */
    public UpstreamCall prepare(UpstreamView upstream, AttemptRequest attempt, long remainingMillis) {
        SendGuard guard = new SendGuard(Long.MAX_VALUE);
        long timeoutMillis = remainingMillis + (attempt.nonIdempotent() ? options.nonIdempotentGraceMillis() : 0);
        boolean completion = isCompletion(upstream, attempt);
        CompletionFields fields = completion ? CompletionFields.parse(attempt.body()) : CompletionFields.DEFAULTS;
        long headTimeout =
                fields.streamed() ? Math.min(timeoutMillis, headTimeoutMillis(attempt.priority())) : timeoutMillis;
        OkHttpClient callClient = client.newBuilder()
                .readTimeout(Math.max(1, headTimeout), TimeUnit.MILLISECONDS)
                .callTimeout(Math.max(1, timeoutMillis), TimeUnit.MILLISECONDS)
                .build();
        Request request = request(upstream, attempt, guard);
        return new UpstreamCall(
                callClient.newCall(request), guard, attempt.attemptId(), completion, fields.resumeFrom(), options);
    }

    /** Returns whether the request is a completion; its response must contain the request id. */
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
     * Returns the URL of a request. Only normalized paths are accepted: a path that the HTTP client would normalize
     * could bypass the entry's list of non-idempotent calls, or reach the order interface of an engine.
     */
    private static HttpUrl url(UpstreamView upstream, AttemptRequest attempt) {
        String path = attempt.path();
        String[] parts = path.split("\\?", 2);
        HttpUrl url = path.startsWith("/") ? HttpUrl.parse("http://" + upstream.address() + path) : null;
        if (url == null || !url.encodedPath().equals(parts[0])) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT, "path \"" + path + "\" is not an absolute and normalized path");
        }
        if (upstream.kind() == UpstreamKind.ENGINE && !isAllowedEnginePath(attempt.method(), parts[0])) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT,
                    attempt.method() + " " + parts[0] + " is not allowed for requests to an engine");
        }
        return url;
    }

    /** Excludes the order interface, which only the order executor may call. */
    private static boolean isAllowedEnginePath(String method, String path) {
        return path.startsWith("/v1/") || (method.equals("GET") && path.startsWith("/engine/"));
    }

    private static Request request(UpstreamView upstream, AttemptRequest attempt, SendGuard guard) {
        try {
            Request.Builder builder = new Request.Builder()
                    .url(url(upstream, attempt))
                    .tag(SendGuard.class, guard)
                    // Without this header OkHttp requests a compressed response and decompresses it, which alters the
                    // response.
                    .header("Accept-Encoding", "identity");
            addHeaders(builder, attempt.headers());
            return builder.header(REQUEST_ID, attempt.attemptId())
                    .method(attempt.method(), bodyOf(attempt))
                    .build();
        } catch (IllegalArgumentException e) {
            throw new WagtailcartException(ResultCode.INVALID_ARGUMENT, "attempt is not a valid HTTP request: " + e, e);
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

package org.wagtailcart.control.http;

import com.codahale.metrics.MetricRegistry;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.server.RoutingHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Function;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.Causes;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.SettingNames;
import org.wagtailcart.common.WagtailcartException;

/** HTTP server of the operator interface. Every request must carry the bearer token. */
public final class OperatorServer implements AutoCloseable {
    private static final Logger LOG = System.getLogger(OperatorServer.class.getName());
    // The full tree of 30,000 workspaces takes less than 5 MB as INI.
    private static final long MAX_BODY_BYTES = 8L << 20;

    private final JsonCodec json = new JsonCodec();
    private final byte[] expectedAuthorization;
    private final Undertow server;

    /**
     * Creates the server and starts listening.
     *
     * @param executor runs the endpoints, which may block while reading the request body
     * @throws WagtailcartException with {@link ResultCode#INVALID_ARGUMENT} when the address cannot be bound
     */
    public OperatorServer(
            Address listen, String token, OperatorBackend backend, MetricRegistry registry, Executor executor) {
        this.expectedAuthorization = ("Bearer " + token).getBytes(StandardCharsets.UTF_8);
        this.server = Undertow.builder()
                .addHttpListener(listen.port(), listen.ip().replaceAll("[\\[\\]]", ""))
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
                .setHandler(requireToken(routes(backend, registry, executor)))
                .build();
        try {
            server.start();
        } catch (RuntimeException e) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT,
                    "operator listener " + listen + " cannot be bound: " + e.getMessage(),
                    e);
        }
    }

    @Override
    public void close() {
        server.stop();
    }

    private HttpHandler requireToken(HttpHandler next) {
        return exchange -> {
            String given = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
            byte[] bytes = given == null ? new byte[0] : given.getBytes(StandardCharsets.UTF_8);
            if (MessageDigest.isEqual(bytes, expectedAuthorization)) {
                next.handleRequest(exchange);
            } else {
                send(
                        exchange,
                        errorResponse(new WagtailcartException(
                                ResultCode.UNAUTHORIZED,
                                "header \"Authorization\" does not contain the operator bearer token")));
            }
        };
    }

    private HttpHandler routes(OperatorBackend backend, MetricRegistry registry, Executor executor) {
        SettingsApi settings = new SettingsApi(backend, json);
        FleetApi fleet = new FleetApi(backend, json, executor);
        MetricsApi metrics = new MetricsApi(registry);
        return new RoutingHandler()
                .get("/v1/tree", syncEndpoint(executor, settings::tree))
                .get("/v1/tree/ini", endpoint(executor, request -> completed(settings.ini(request))))
                .post("/v1/tree", asyncEndpoint(executor, settings::apply))
                .post("/v1/tree/ini", asyncEndpoint(executor, settings::applyIni))
                .get("/v1/history", syncEndpoint(executor, settings::history))
                .get("/v1/compare", syncEndpoint(executor, settings::compare))
                .get("/v1/upstreams", syncEndpoint(executor, fleet::upstreams))
                .get("/v1/upstreams/{id}", syncEndpoint(executor, fleet::upstream))
                .post("/v1/upstreams/{id}/lifecycle", asyncEndpoint(executor, fleet::lifecycle))
                .post("/v1/upstreams/{id}/order", asyncEndpoint(executor, fleet::order))
                .get("/v1/members", syncEndpoint(executor, fleet::members))
                .post("/v1/members", asyncEndpoint(executor, fleet::changeMembers))
                .get("/v1/status", asyncEndpoint(executor, fleet::status))
                .get("/v1/wait", asyncEndpoint(executor, fleet::waitInForce))
                .get("/v1/dump", syncEndpoint(executor, request -> backend.dump()))
                .get("/v1/metrics", syncEndpoint(executor, metrics::metrics))
                .setFallbackHandler(this::notFound)
                .setInvalidMethodHandler(this::notFound);
    }

    private void notFound(HttpServerExchange exchange) {
        send(
                exchange,
                errorResponse(new WagtailcartException(
                        ResultCode.NOT_FOUND,
                        exchange.getRequestMethod() + " " + exchange.getRequestPath() + " is unknown")));
    }

    private HttpHandler syncEndpoint(Executor executor, Function<OperatorRequest, Record> endpoint) {
        return asyncEndpoint(executor, request -> completed(endpoint.apply(request)));
    }

    private HttpHandler asyncEndpoint(
            Executor executor, Function<OperatorRequest, CompletableFuture<Record>> endpoint) {
        return endpoint(executor, request -> endpoint.apply(request)
                .thenApply(body -> OperatorResponse.json(json.write(body))));
    }

    /**
     * Runs an endpoint on the executor. The response is sent there too, because sending must not block the control
     * thread.
     */
    private HttpHandler endpoint(
            Executor executor, Function<OperatorRequest, CompletableFuture<OperatorResponse>> endpoint) {
        return exchange -> exchange.dispatch(executor, () -> {
            CompletableFuture<OperatorResponse> future;
            try {
                future = endpoint.apply(read(exchange));
            } catch (RuntimeException | IOException e) {
                future = CompletableFuture.failedFuture(e);
            }
            CompletableFuture<?> unused = future.exceptionally(error -> errorResponse(toWagtailcartException(error)))
                    .thenAcceptAsync(response -> send(exchange, response), executor);
        });
    }

    private static <T> CompletableFuture<T> completed(T value) {
        return CompletableFuture.completedFuture(value);
    }

    private static OperatorRequest read(HttpServerExchange exchange) throws IOException {
        Map<String, String> parameters = new TreeMap<>();
        exchange.getQueryParameters().forEach((name, values) -> parameters.put(name, values.getFirst()));
        exchange.startBlocking();
        try {
            return new OperatorRequest(parameters, exchange.getInputStream().readAllBytes());
        } catch (RequestTooBigException e) {
            throw new WagtailcartException(
                    ResultCode.PAYLOAD_TOO_LARGE, "body is larger than " + MAX_BODY_BYTES + " bytes", e);
        }
    }

    private OperatorResponse errorResponse(WagtailcartException error) {
        ResultCode code = error.code();
        String runState = SettingNames.of(error.runState());
        Bodies.ErrorDetails body = new Bodies.ErrorDetails(
                code.number(),
                SettingNames.of(code),
                Optional.ofNullable(error.getMessage()).orElse(""),
                runState,
                code.repeatSafe());
        return new OperatorResponse(
                code.httpStatus(),
                "application/json",
                Map.of(
                        "Wagtailcart-Result-Code", String.valueOf(code.number()),
                        "Wagtailcart-Run-State", runState,
                        "Wagtailcart-Repeat-Safe", String.valueOf(code.repeatSafe())),
                json.write(new Bodies.ErrorBody(body)));
    }

    private static WagtailcartException toWagtailcartException(Throwable error) {
        Throwable cause = Causes.unwrap(error);
        if (cause instanceof WagtailcartException known) {
            return known;
        }
        LOG.log(Level.ERROR, LogEvent.of("operator-request-failed", "reason", cause), cause);
        return new WagtailcartException(ResultCode.INTERNAL_ERROR, "request failed: " + cause);
    }

    private static void send(HttpServerExchange exchange, OperatorResponse response) {
        exchange.setStatusCode(response.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, response.contentType());
        response.headers()
                .forEach((name, value) -> exchange.getResponseHeaders().put(new HttpString(name), value));
        exchange.getResponseSender().send(ByteBuffer.wrap(response.body()));
    }
}

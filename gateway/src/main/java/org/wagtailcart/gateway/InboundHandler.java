package org.wagtailcart.gateway;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.wagtailcart.common.HopByHopHeaders;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.entry.request.RequestBodyReader;
import org.wagtailcart.gateway.call.CallFactory;
import org.wagtailcart.gateway.call.CallerResponseWriter;
import org.wagtailcart.gateway.call.GatewayContext;
import org.wagtailcart.gateway.call.InboundRequest;
import org.wagtailcart.gateway.protocol.RequestMetadata;
import org.wagtailcart.routes.Route;
import org.wagtailcart.routes.RouteIndex;
import org.wagtailcart.workspace.RevocationPolicy;
import org.wagtailcart.workspace.Workspace;

/** HTTP handler that receives the requests of callers, looks up their routes and starts a call for each. */
final class InboundHandler implements HttpHandler {
    /** Time limit for receiving a request body; without it, a caller that never sends its body blocks a shutdown. */
    private static final long MAX_BODY_MILLIS = 10_000;
    /** Limit on the total size of the buffered bodies of open requests. */
    private static final long MAX_BUFFERED_BODY_BYTES = 64L << 20;

    private static final long RETRY_AFTER_MILLIS = 300;

    private final GatewayContext context;
    private final KeyCheck keyCheck;
    private final GatewayState state;
    private final ReadDelayMonitor readDelay;
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicLong bodyBytes = new AtomicLong();

    /** State of the gateway that the handler depends on. */
    interface GatewayState {
        /** Returns whether new requests are refused, so that open ones can finish before the process is killed. */
        boolean refusesNewWork();

        /** Returns whether responses close their connection, so that callers open new ones. */
        boolean closesConnections();

        /** Called after the response of a request has been sent or aborted. */
        void requestEnded();
    }

    InboundHandler(
            GatewayContext context, RevocationPolicy revocation, GatewayState state, ReadDelayMonitor readDelay) {
        this.context = context;
        this.keyCheck = new KeyCheck(context, revocation);
        this.state = state;
        this.readDelay = readDelay;
    }

    /** Returns the number of requests whose response is not complete. */
    int openRequests() {
        return open.get();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        long arrivedMillis = readDelay.earliestArrivalMillis();
        open.incrementAndGet();
        exchange.addExchangeCompleteListener((done, next) -> {
            open.decrementAndGet();
            state.requestEnded();
            next.proceed();
        });
        if (state.closesConnections()) {
            exchange.setPersistent(false);
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
        if (state.refusesNewWork()) {
            refuseWithoutBody(exchange, ResultCode.SHUTTING_DOWN, "gateway is shutting down");
            return;
        }
        long maxBodyBytes = context.routeWatcher().routes().table().limits().maxBodyBytes();
        if (exchange.getRequestContentLength() > maxBodyBytes) {
            refuseWithoutBody(exchange, ResultCode.PAYLOAD_TOO_LARGE, "body is larger than " + maxBodyBytes + " bytes");
            return;
        }
        if (bodyBytes.get() > MAX_BUFFERED_BODY_BYTES) {
            refuseWithoutBody(exchange, ResultCode.QUEUE_FULL, "buffer for request bodies is full");
            return;
        }
        if (refusedForItsKey(exchange)) {
            return;
        }
        exchange.setMaxEntitySize(maxBodyBytes);
        readBody(exchange, arrivedMillis);
    }

    /**
     * Refuses a request without a valid key before its body is read, so that only callers with a key take room in the
     * buffer for bodies. The key is checked again after the body, since it may be withdrawn meanwhile.
     */
    private boolean refusedForItsKey(HttpServerExchange exchange) {
        RouteIndex routes = context.routeWatcher().routes();
        if (routes.authenticator().isEmpty()) {
            return false;
        }
        List<String> headers = headerLines(exchange);
        try {
            routes.find(hostName(exchange), exchange.getRequestURI())
                    .ifPresent(route -> keyCheck.workspaceOf(routes, route, headers));
            return false;
        } catch (WagtailcartException e) {
            if (!exchange.isRequestComplete()) {
                exchange.setPersistent(false);
            }
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> refuse(exchange, new CallerResponseWriter(exchange, context.timer()), headers, e));
            return true;
        }
    }

    private void readBody(HttpServerExchange exchange, long arrivedMillis) {
        RequestBodyReader.receive(
                exchange,
                context.timer(),
                MAX_BODY_MILLIS,
                (received, body) -> {
                    bodyBytes.addAndGet(body.length);
                    received.addExchangeCompleteListener((done, next) -> {
                        bodyBytes.addAndGet(-body.length);
                        next.proceed();
                    });
                    received.dispatch(SameThreadExecutor.INSTANCE, () -> accept(received, body, arrivedMillis));
                },
                (failed, error) -> refuseWithoutBody(
                        failed, ResultCode.INVALID_ARGUMENT, "request body was not received completely: " + error));
    }

    private void refuseWithoutBody(HttpServerExchange exchange, ResultCode code, String text) {
        exchange.setPersistent(false);
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> new CallerResponseWriter(exchange, context.timer())
                .refuse(code, RunState.NOT_RUN, true, text, 0));
    }

    private void accept(HttpServerExchange exchange, byte[] body, long arrivedMillis) {
        CallerResponseWriter caller = new CallerResponseWriter(exchange, context.timer());
        if (state.refusesNewWork()) {
            caller.refuse(ResultCode.SHUTTING_DOWN, RunState.NOT_RUN, true, "gateway is shutting down", 0);
            return;
        }
        List<String> headers = headerLines(exchange);
        try {
            InboundRequest request = parseRequest(exchange, headers, body, arrivedMillis);
            context.requestExecutor().execute(CallFactory.of(context, request, caller));
        } catch (WagtailcartException e) {
            refuse(exchange, caller, headers, e);
        } catch (RejectedExecutionException e) {
            caller.refuse(ResultCode.QUEUE_FULL, RunState.NOT_RUN, true, "too many requests", RETRY_AFTER_MILLIS);
        }
    }

    /** Logs a request that did not run and sends the error to its caller. */
    private void refuse(
            HttpServerExchange exchange,
            CallerResponseWriter caller,
            List<String> headers,
            WagtailcartException error) {
        long afterMillis = error.code().httpStatus() == 503 ? RETRY_AFTER_MILLIS : 0;
        List<String> errorHeaders =
                error.code() == ResultCode.API_KEY_REFUSED ? context.protocol().keyRefusalHeaders() : List.of();
        String requestId = context.protocol().parseRequest(headers).requestId();
        CallFactory.recordRefused(context, requestId, exchange.getRequestURI(), error);
        caller.refuse(
                error.code(), RunState.NOT_RUN, true, String.valueOf(error.getMessage()), afterMillis, errorHeaders);
    }

    private InboundRequest parseRequest(
            HttpServerExchange exchange, List<String> headers, byte[] body, long arrivedMillis) {
        RequestMetadata metadata = context.protocol().parseRequest(headers);
        RouteIndex routes = context.routeWatcher().routes();
        String path = exchange.getRequestURI();
        String hostName = hostName(exchange);
        Route route = routes.find(hostName, path).orElseThrow(() -> unknownRoute(hostName, path));
        ResumptionCheck.check(route, metadata);
        Optional<Workspace> workspace = keyCheck.workspaceOf(routes, route, headers);
        String query = exchange.getQueryString();
        String target = query.isEmpty() ? path : path + "?" + query;
        long callerDeadlineMillis = arrivedMillis + metadata.timeoutMillis().orElse(route.timeoutMillis());
        String service =
                RouteIndex.pickService(route, ThreadLocalRandom.current().nextDouble());
        context.retryBudgets().onRequest(service, arrivedMillis);
        return new InboundRequest(
                metadata,
                exchange.getRequestMethod().toString(),
                target,
                forwardedHeaders(routes, headers),
                body,
                route,
                workspace.map(Workspace::name).orElse(""),
                workspace.map(Workspace::priority).orElse(route.priority()),
                service,
                arrivedMillis,
                callerDeadlineMillis,
                arrivedMillis + route.timeoutMillis());
    }

    /** Returns the header lines for upstreams; the credentials belong to the system if the table has workspaces. */
    private List<String> forwardedHeaders(RouteIndex routes, List<String> headers) {
        List<String> endToEnd = HopByHopHeaders.removeFrom(headers);
        return routes.authenticator().isPresent() ? context.protocol().withoutCredentials(endToEnd) : endToEnd;
    }

    private static String hostName(HttpServerExchange exchange) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(Headers.HOST))
                .orElse("");
    }

    private static List<String> headerLines(HttpServerExchange exchange) {
        return StreamSupport.stream(exchange.getRequestHeaders().spliterator(), false)
                .flatMap(InboundHandler::headerLines)
                .toList();
    }

    /**
     * Returns the error for a request without a matching route. It is NOT_FOUND only if a quorum confirmed the routing
     * table recently, because an outdated table may lack the route.
     */
    private WagtailcartException unknownRoute(String hostName, String path) {
        return context.routeWatcher().confirmed()
                        && context.routeWatcher().routes().table().version() > 0
                ? new WagtailcartException(ResultCode.NOT_FOUND, "no route for host " + hostName + " and path " + path)
                : new WagtailcartException(
                        ResultCode.ROUTES_UNCONFIRMED, "no routing table was confirmed by a quorum recently");
    }

    private static Stream<String> headerLines(HeaderValues values) {
        return values.stream().flatMap(value -> Stream.of(values.getHeaderName().toString(), value));
    }
}

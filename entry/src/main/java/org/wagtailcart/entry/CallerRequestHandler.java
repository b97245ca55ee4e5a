package org.wagtailcart.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RunState;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.entry.admission.DemandMeter;
import org.wagtailcart.entry.admission.WorkspaceRateLimiter;
import org.wagtailcart.entry.answer.CallerResponse;
import org.wagtailcart.entry.answer.ErrorResponse;
import org.wagtailcart.entry.call.AtMostOnceCallTracker;
import org.wagtailcart.entry.call.CallContext;
import org.wagtailcart.entry.call.RetryableCall;
import org.wagtailcart.entry.call.Stage;
import org.wagtailcart.entry.request.CallerAuthenticator;
import org.wagtailcart.entry.request.CallerRequest;
import org.wagtailcart.entry.request.HttpRequestHead;
import org.wagtailcart.entry.request.PoolDirectory;
import org.wagtailcart.entry.request.RequestBodyReader;
import org.wagtailcart.entry.request.RequestClassifier;
import org.wagtailcart.entry.request.RequestKind;
import org.wagtailcart.policy.share.RetryAfter;

/**
 * HTTP handler of the caller listener: serves health checks and the model list, reads request bodies, applies the
 * admission checks and starts a call for each accepted request.
 */
final class CallerRequestHandler implements HttpHandler {
    /** Limit of a request body; leaves room for the rest of an attempt message in a wire frame of 4 MiB. */
    static final int MAX_BODY_BYTES = 3 << 20;

    /** Time within which a body must arrive; without it, a caller that never sends its body would delay a shutdown. */
    private static final long BODY_TIMEOUT_MILLIS = 30_000;

    /** Least time after which a caller above its rate limit should retry. */
    private static final long LEAST_RETRY_AFTER_MILLIS = 100;

    private static final Logger LOG = System.getLogger(CallerRequestHandler.class.getName());
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final CallContext context;
    private final WorkspaceRateLimiter rateLimiter;
    private final DemandMeter demand;
    private final EntryState state;
    private final AtMostOnceCallTracker atMostOnceCalls;
    private final RequestBodyBudget bodyBudget =
            new RequestBodyBudget(Runtime.getRuntime().maxMemory() / 4);
    private final AtomicInteger openCount = new AtomicInteger();

    /** State of the entry that the handler reads. */
    interface EntryState {
        /** Returns whether a load balancer may send new work. */
        boolean ready();

        /** Returns whether new work is rejected because the process is stopping. */
        boolean rejectsNewWork();

        /** Returns the pools of the installed settings and upstreams. */
        PoolDirectory pools();

        /** Called after each request has ended. */
        void onRequestEnded();
    }

    /**
     * Response body of the model list.
     *
     * @param object always {@code list}
     * @param data the models
     */
    private record ModelList(String object, List<Model> data) {}

    /**
     * Entry of the model list.
     *
     * @param id name
     * @param object always {@code model}
     * @param owned_by always {@code wagtailcart}
     */
    private record Model(String id, String object, String owned_by) {}

    CallerRequestHandler(CallContext context, WorkspaceRateLimiter rateLimiter, DemandMeter demand, EntryState state) {
        this.demand = demand;
        this.context = context;
        this.rateLimiter = rateLimiter;
        this.state = state;
        this.atMostOnceCalls = new AtMostOnceCallTracker(context, state::onRequestEnded);
    }

    /**
     * Returns the larger of the number of requests without a complete response and the number of at-most-once calls
     * whose outcome is not settled.
     */
    int openRequests() {
        return Math.max(openCount.get(), atMostOnceCalls.openCount());
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        switch (exchange.getRequestPath()) {
            case "/livez" -> sendText(exchange, 200, "live");
            case "/readyz" -> sendText(exchange, state.ready() ? 200 : 503, state.ready() ? "ready" : "not ready");
            case "/v1/models" -> sendModels(exchange);
            default -> readBody(exchange);
        }
    }

    private static void sendText(HttpServerExchange exchange, int status, String text) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        exchange.getResponseSender().send(text + "\n");
    }

    private void sendModels(HttpServerExchange exchange) {
        List<Model> models = state.pools().models().stream()
                .map(name -> new Model(name, "model", "wagtailcart"))
                .toList();
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        try {
            exchange.getResponseSender()
                    .send(new String(MAPPER.writeValueAsBytes(new ModelList("list", models)), StandardCharsets.UTF_8));
        } catch (JsonProcessingException e) {
            sendText(exchange, 500, "cannot encode the list of models");
        }
    }

    private void readBody(HttpServerExchange exchange) {
        openCount.incrementAndGet();
        exchange.addExchangeCompleteListener((done, next) -> {
            openCount.decrementAndGet();
            state.onRequestEnded();
            next.proceed();
        });
        try {
            HttpRequestHead unused = authenticatedHead(exchange, state.pools());
        } catch (WagtailcartException e) {
            sendErrorUnread(exchange, e);
            return;
        }
        if (exchange.getRequestContentLength() > MAX_BODY_BYTES) {
            sendErrorUnread(exchange, bodyRejected());
            return;
        }
        if (!bodyBudget.tryReserve(exchange)) {
            sendErrorUnread(
                    exchange,
                    new WagtailcartException(
                            ResultCode.QUEUE_FULL, "memory budget for the bodies of open requests is exhausted"));
            return;
        }
        exchange.setMaxEntitySize(MAX_BODY_BYTES);
        RequestBodyReader.receive(
                exchange,
                context.timer(),
                BODY_TIMEOUT_MILLIS,
                (received, body) -> received.dispatch(SameThreadExecutor.INSTANCE, () -> accept(received, body)),
                (failed, error) -> sendErrorUnread(failed, bodyRejected()));
    }

    private static WagtailcartException bodyRejected() {
        return new WagtailcartException(
                ResultCode.PAYLOAD_TOO_LARGE, "body is larger than " + MAX_BODY_BYTES + " bytes or is incomplete");
    }

    private void sendErrorUnread(HttpServerExchange exchange, WagtailcartException error) {
        exchange.setPersistent(false);
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> sendError(
                        new CallerResponse(exchange, context.timer()),
                        Stage.ACCEPT,
                        withRunStateForKey(exchange, ErrorResponse.of(error))));
    }

    private void accept(HttpServerExchange exchange, byte[] body) {
        CallerResponse response = new CallerResponse(exchange, context.timer());
        try {
            if (state.rejectsNewWork()) {
                exchange.setPersistent(false);
                throw new WagtailcartException(ResultCode.SHUTTING_DOWN, "entry is stopping");
            }
            if (!context.newWorkPolicy().allows(RequestKind.SERVICE_CALL)) {
                throw leaseExpired();
            }
            if (!RequestClassifier.isRoutable(exchange.getRequestPath())) {
                throw new WagtailcartException(
                        ResultCode.NOT_FOUND, "path " + exchange.getRequestPath() + " does not exist");
            }
            context.counters().count(Stage.ACCEPT, ResultCode.OK);
        } catch (WagtailcartException e) {
            sendError(response, Stage.ACCEPT, withRunStateForKey(exchange, ErrorResponse.of(e)));
            return;
        }
        classify(exchange, body, response);
    }

    /**
     * Returns the head of a request with the workspace of its key. The key is checked before the body, which takes
     * memory, and again after it, as the key may be withdrawn meanwhile.
     */
    private HttpRequestHead authenticatedHead(HttpServerExchange exchange, PoolDirectory pools) {
        boolean confirmed = context.clock().nowMillis() < context.view().leaseDeadlineMillis();
        return CallerAuthenticator.authenticate(requestHead(exchange), pools, confirmed);
    }

    private void classify(HttpServerExchange exchange, byte[] body, CallerResponse response) {
        PoolDirectory pools = state.pools();
        HttpRequestHead head;
        try {
            head = authenticatedHead(exchange, pools);
        } catch (WagtailcartException e) {
            sendError(response, Stage.CLASSIFY, withRunStateForKey(exchange, ErrorResponse.of(e)));
            return;
        }
        CallerRequest request;
        try {
            request = RequestClassifier.classify(
                    head, body, pools, context.clock().nowMillis());
            context.counters().count(Stage.CLASSIFY, ResultCode.OK);
            request.completion().ifPresent(demand::onRequest);
        } catch (WagtailcartException e) {
            sendError(response, Stage.CLASSIFY, ErrorResponse.of(e));
            return;
        }
        try {
            admit(request, response);
        } catch (WagtailcartException e) {
            sendError(response, Stage.ADMIT, withRunStateForKey(exchange, ErrorResponse.of(e)));
            return;
        }
        start(exchange, request, response);
    }

    private void admit(CallerRequest request, CallerResponse response) {
        if (!context.newWorkPolicy().allows(request.kind())) {
            throw leaseExpired();
        }
        PoolDirectory pools = state.pools();
        long limit = pools.effectiveWorkspaceSetting(request.workspace(), "requests-per-second")
                .filter(text -> text.matches("[0-9]{1,7}"))
                .map(Long::parseLong)
                .orElse(0L);
        String rateLimitKey = pools.hasWorkspace(request.workspace()) ? request.workspace() : "";
        if (!rateLimiter.tryAcquire(
                rateLimitKey,
                limit,
                context.view().entryCount(),
                context.clock().nowMillis())) {
            response.setHeader(Headers.RETRY_AFTER_STRING, retryAfterSeconds(request, rateLimitKey, limit));
            throw new WagtailcartException(
                    ResultCode.WORKSPACE_LIMIT,
                    "workspace \"" + request.workspace() + "\" is over its limit of " + limit + " requests per second");
        }
    }

    /** Returns when the workspace may send again, spread so that callers refused together do not return together. */
    private String retryAfterSeconds(CallerRequest request, String rateLimitKey, long limit) {
        long nowMillis = context.clock().nowMillis();
        double waitMillis = (double)
                rateLimiter.millisUntilNext(rateLimitKey, limit, context.view().entryCount(), nowMillis);
        long afterMillis = RetryAfter.millis(
                waitMillis,
                request.deadlineMillis() - nowMillis,
                ThreadLocalRandom.current().nextDouble(),
                LEAST_RETRY_AFTER_MILLIS);
        return String.format(Locale.ROOT, "%.2f", afterMillis / 1_000.0);
    }

    private static WagtailcartException leaseExpired() {
        return new WagtailcartException(
                ResultCode.SETTINGS_LEASE_EXPIRED, "settings are not confirmed by the control group");
    }

    private void start(HttpServerExchange exchange, CallerRequest request, CallerResponse response) {
        try {
            if (request.kind().retryable()) {
                RetryableCall.start(context, request, response, exchange.getIoThread());
            } else {
                atMostOnceCalls.start(request, response, exchange.getIoThread());
            }
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, LogEvent.of("call-failed", "path", exchange.getRequestPath(), "reason", e), e);
            response.sendError(ErrorResponse.of(
                    new WagtailcartException(ResultCode.INTERNAL_ERROR, "unexpected error in the entry: " + e)));
        }
    }

    /**
     * Sets the run state of an error to {@link RunState#MAY_HAVE_RUN} when the request has an idempotency key. The key
     * registry has not been read yet, so an earlier request with the same key may have run.
     */
    private static ErrorResponse withRunStateForKey(HttpServerExchange exchange, ErrorResponse error) {
        return exchange.getRequestHeaders().contains("Idempotency-Key")
                ? error.withRunState(RunState.MAY_HAVE_RUN)
                : error;
    }

    private void sendError(CallerResponse response, Stage stage, ErrorResponse error) {
        context.counters().count(stage, error.code());
        context.counters().count(Stage.FINISH, error.code());
        if (error.code() == ResultCode.API_KEY_REFUSED) {
            response.setHeader(Headers.WWW_AUTHENTICATE_STRING, "Bearer");
        }
        response.sendError(error);
    }

    private static HttpRequestHead requestHead(HttpServerExchange exchange) {
        List<String> headers = StreamSupport.stream(exchange.getRequestHeaders().spliterator(), false)
                .flatMap(CallerRequestHandler::headerLines)
                .toList();
        return new HttpRequestHead(
                exchange.getRequestMethod().toString(), exchange.getRequestPath(), exchange.getQueryString(), headers);
    }

    private static Stream<String> headerLines(HeaderValues values) {
        return values.stream().flatMap(value -> Stream.of(values.getHeaderName().toString(), value));
    }
}

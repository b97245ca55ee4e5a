package org.wagtailcart.daemon;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.RoleService;
import org.wagtailcart.common.WagtailcartException;

/** HTTP listener for operators of a process without the control role: health, metrics and the state dump. */
final class OperatorListener implements AutoCloseable {
    private final ObjectMapper mapper = new ObjectMapper();
    private final Address address;
    private final Undertow server;

    OperatorListener(
            Address address,
            OperatorToken token,
            List<RoleService> roles,
            Supplier<ProcessDump> dump,
            MetricRegistry registry) {
        this.address = address;
        HttpHandler routes = Handlers.path()
                .addExactPath("/livez", exchange -> exchange.getResponseSender().send("ok"))
                .addExactPath("/readyz", exchange -> respondReadiness(exchange, roles))
                .addExactPath("/v1/metrics", exchange -> respondJson(exchange, MetricsDump.of(registry)))
                .addExactPath("/v1/dump", exchange -> respondDump(exchange, token, dump));
        server = Undertow.builder()
                .addHttpListener(address.port(), address.ip())
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setHandler(routes)
                .build();
    }

    /**
     * Binds the address and starts listening.
     *
     * @throws WagtailcartException with {@link ResultCode#INVALID_ARGUMENT} when the address cannot be bound
     */
    void start() {
        try {
            server.start();
        } catch (RuntimeException e) {
            throw new WagtailcartException(
                    ResultCode.INVALID_ARGUMENT, "cannot listen on [listen] operator = " + address, e);
        }
    }

    @Override
    public void close() {
        server.stop();
    }

    private static void respondReadiness(HttpServerExchange exchange, List<RoleService> roles) {
        boolean ready = roles.stream().allMatch(RoleService::ready);
        exchange.setStatusCode(ready ? 200 : 503);
        exchange.getResponseSender().send(ready ? "ready" : "not ready");
    }

    private void respondDump(HttpServerExchange exchange, OperatorToken token, Supplier<ProcessDump> dump) {
        String authorization = Optional.ofNullable(exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION))
                .orElse("");
        if (token.matchesHeader(authorization)) {
            respondJson(exchange, dump.get());
        } else {
            exchange.setStatusCode(401);
            exchange.getResponseSender()
                    .send("{\"error\":{\"code\":1003,\"message\":\"operator token is missing or wrong\"}}");
        }
    }

    private void respondJson(HttpServerExchange exchange, Object body) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        try {
            exchange.getResponseSender().send(mapper.writeValueAsString(body));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("state cannot be serialized to JSON", e);
        }
    }
}

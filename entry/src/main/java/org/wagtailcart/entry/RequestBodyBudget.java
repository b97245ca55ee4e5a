package org.wagtailcart.entry;

import io.undertow.server.HttpServerExchange;
import java.util.concurrent.atomic.AtomicLong;

/** Memory budget for the bodies of all open requests, which the queue limits alone do not bound. */
final class RequestBodyBudget {
    private final long limitBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    RequestBodyBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Reserves memory for the body of a request until the request has ended, and returns whether the budget allows it.
     * A body of unknown length reserves the maximum body size.
     */
    boolean tryReserve(HttpServerExchange exchange) {
        long contentLength = exchange.getRequestContentLength();
        boolean empty = contentLength < 0 && exchange.isRequestComplete();
        long bytes = contentLength >= 0 ? contentLength : empty ? 0 : CallerRequestHandler.MAX_BODY_BYTES;
        if (reservedBytes.addAndGet(bytes) > limitBytes) {
            reservedBytes.addAndGet(-bytes);
            return false;
        }
        exchange.addExchangeCompleteListener((done, next) -> {
            reservedBytes.addAndGet(-bytes);
            next.proceed();
        });
        return true;
    }
}

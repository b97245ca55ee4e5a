package org.wagtailcart.entry;

import io.undertow.server.HttpServerExchange;
import java.util.concurrent.atomic.AtomicLong;

/** Bounds the bytes of all request bodies that are held at once, which the queue limits alone do not. */
final class RequestBodyBudget {
    private final long limitBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    RequestBodyBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Holds room for the body of a request until it has ended; a body of unknown length takes the most it may have. */
    boolean tryReserve(HttpServerExchange exchange) {
        long stated = exchange.getRequestContentLength();
        boolean empty = stated < 0 && exchange.isRequestComplete();
        long bytes = stated >= 0 ? stated : empty ? 0 : CallerRequestHandler.MAX_BODY_BYTES;
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

package org.wagtailcart.standin;

import io.undertow.server.HttpServerExchange;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;

/** Stand-in server for the weight store: it serves a limited number of loads concurrently and queues the others. */
public final class WeightStore implements AutoCloseable {
    /**
     * Options of a weight store.
     *
     * @param listen address of its HTTP listener
     * @param maxConcurrentLoads number of concurrent loads
     * @param loadMillis duration of a load
     */
    public record Options(Address listen, int maxConcurrentLoads, long loadMillis) {}

    /** Response to a load. */
    private record LoadResponse(String path, long loads) {}

    private final Options options;
    private final Semaphore loadSlots;
    private final AtomicLong loads = new AtomicLong();
    private volatile @Nullable HttpListener listener;

    /** Creates a store without starting its listener. */
    public WeightStore(Options options) {
        this.options = options;
        this.loadSlots = new Semaphore(options.maxConcurrentLoads(), true);
    }

    /** Opens the listener. */
    public void start() {
        listener = new HttpListener(options.listen(), this::handle);
    }

    /** Closes the listener. */
    @Override
    public void close() {
        HttpListener current = listener;
        if (current != null) {
            current.close();
        }
    }

    /** Returns the number of loads served. */
    public long loads() {
        return loads.get();
    }

    private void handle(HttpServerExchange exchange) throws InterruptedException {
        HttpListener current = listener;
        loadSlots.acquire();
        try {
            if (current != null && current.await(options.loadMillis())) {
                HttpListener.respond(
                        exchange, 200, new LoadResponse(exchange.getRequestPath(), loads.incrementAndGet()));
            }
        } finally {
            loadSlots.release();
        }
    }
}

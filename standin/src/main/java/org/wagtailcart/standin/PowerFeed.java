package org.wagtailcart.standin;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.MillisClock;

/**
 * Stand-in server for the power feed that engines share: while more engines than its limit run above the soft limit, it
 * slows all of them down.
 */
public final class PowerFeed implements AutoCloseable {
    /** Time after which the report of an engine expires. */
    private static final long REPORT_TTL_MILLIS = 1_000;

    /** Response to the report of an engine. */
    private record PowerResponse(long hard, long limit, double slowdown) {}

    private final Address listen;
    private final Map<String, Long> aboveSoftLimitAtMillis = new ConcurrentHashMap<>();
    private final MillisClock clock = MillisClock.monotonic();
    private volatile long limit;
    private volatile @Nullable HttpListener listener;

    /** Creates a feed with the given limit on engines above the soft limit, without starting its listener. */
    public PowerFeed(Address listen, int limit) {
        this.listen = listen;
        this.limit = limit;
    }

    /** Opens the listener. */
    public void start() {
        listener = new HttpListener(listen, this::handle);
    }

    /** Sets the number of engines that may run above the soft limit. */
    public void setLimit(long engines) {
        limit = engines;
    }

    /** Closes the listener. */
    @Override
    public void close() {
        HttpListener current = listener;
        if (current != null) {
            current.close();
        }
    }

    /** Reports the load of an engine and returns the factor on the duration of its steps; 1 when the feed is down. */
    static double report(Address feed, Address engine, boolean hard) {
        try {
            byte[] answer = StandinHttpClient.get(feed, "/power/" + engine + "?hard=" + hard);
            return Json.read(answer, PowerResponse.class).slowdown();
        } catch (IOException e) {
            return 1;
        }
    }

    private void handle(HttpServerExchange exchange) {
        if (exchange.getRequestPath().equals("/standin/limit")) {
            setLimit(HttpListener.queryLong(exchange, "engines"));
        } else if (exchange.getQueryString().equals("hard=true")) {
            aboveSoftLimitAtMillis.put(exchange.getRequestPath(), clock.nowMillis());
        } else {
            aboveSoftLimitAtMillis.remove(exchange.getRequestPath());
        }
        HttpListener.respond(exchange, 200, response());
    }

    private PowerResponse response() {
        long since = clock.nowMillis() - REPORT_TTL_MILLIS;
        long hard = aboveSoftLimitAtMillis.values().stream()
                .filter(at -> at >= since)
                .count();
        // Proportional to the overload, and half as much again for the load that the feed sheds.
        double slowdown = hard <= limit ? 1 : 1.5 * hard / Math.max(1L, limit);
        return new PowerResponse(hard, limit, slowdown);
    }
}
